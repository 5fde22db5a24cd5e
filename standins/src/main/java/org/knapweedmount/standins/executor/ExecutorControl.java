package org.knapweedmount.standins.executor;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.ParseException;

/**
 * The position of an executor's switches.
 *
 * @param mode how tasks are treated
 * @param runFactor by how much tasks run longer than they ask for, greater than 1 for a straggler
 */
public record ExecutorControl(FaultMode mode, double runFactor) {
    private static final double MAX_RUN_FACTOR = 1_000;

    /**
     * Creates the position for a mode.
     *
     * @param mode how tasks are treated
     * @return the position, with tasks that run as long as they ask for
     */
    public static ExecutorControl of(FaultMode mode) {
        return new ExecutorControl(mode, 1);
    }

    /**
     * Reads the body of a request.
     *
     * @param body an object with {@code mode} and optionally {@code runFactor}
     * @return the position
     * @throws ParseException if a field is missing or out of range
     */
    public static ExecutorControl parse(JsonNode body) throws ParseException {
        double runFactor = body.path("runFactor").asDouble(1);
        if (runFactor <= 0 || runFactor > MAX_RUN_FACTOR) {
            throw new ParseException("'runFactor' is not above 0 and up to " + MAX_RUN_FACTOR + " in " + body);
        }
        return new ExecutorControl(FaultMode.parse(body.path("mode").asText()), runFactor);
    }

    /**
     * Tells how long a task runs.
     *
     * @param requestedMicros how long the task asks to run, in µs
     * @return the run time, in µs
     */
    public long runMicros(long requestedMicros) {
        return (long) (mode.runMicros(requestedMicros) * runFactor);
    }
}
