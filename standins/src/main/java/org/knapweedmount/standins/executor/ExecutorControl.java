package org.knapweedmount.standins.executor;

import com.fasterxml.jackson.databind.JsonNode;
import org.knapweedmount.api.ParseException;

/**
 * The fault-injection settings of an executor.
 *
 * @param mode the fault that is injected into tasks
 * @param runFactor the factor by which the requested run times are multiplied, greater than 1 for a straggler
 */
public record ExecutorControl(FaultMode mode, double runFactor) {
    private static final double MAX_RUN_FACTOR = 1_000;

    /**
     * Creates the settings for a mode.
     *
     * @param mode the fault that is injected into tasks
     * @return the settings, with tasks that run for the requested time
     */
    public static ExecutorControl of(FaultMode mode) {
        return new ExecutorControl(mode, 1);
    }

    /**
     * Parses the body of a request to {@code /control}.
     *
     * @param body an object with {@code mode} and optionally {@code runFactor}
     * @return the settings
     * @throws ParseException if a field is missing or out of range
     */
    public static ExecutorControl parse(JsonNode body) throws ParseException {
        double runFactor = body.path("runFactor").asDouble(1);
        if (runFactor <= 0 || runFactor > MAX_RUN_FACTOR) {
            throw new ParseException("'runFactor' must be above 0 and up to " + MAX_RUN_FACTOR + " in " + body);
        }
        return new ExecutorControl(FaultMode.parse(body.path("mode").asText()), runFactor);
    }

    /**
     * Returns the time for which a task runs.
     *
     * @param requestedMicros the run time that the task requested, in µs
     * @return the run time, in µs
     */
    public long runMicros(long requestedMicros) {
        return (long) (mode.runMicros(requestedMicros) * runFactor);
    }
}
