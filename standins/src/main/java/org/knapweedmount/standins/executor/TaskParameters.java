package org.knapweedmount.standins.executor;

import java.math.BigDecimal;
import java.util.Objects;

import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;

/**
 * What a task asks of the executor in the query of its path, for instance {@code run=12.5&kind=k&use=500,64,0}.
 *
 * @param runMicros how long the task runs, in µs
 * @param kind the kind under which the use is reported, empty if it is not
 * @param use what the task really takes of a worker, whatever was declared for it
 */
public record TaskParameters(long runMicros, String kind, Resources use) {
    private static final BigDecimal MICROS_PER_MILLI = BigDecimal.valueOf(1_000);
    private static final BigDecimal MAX_RUN_MILLIS = BigDecimal.valueOf(3_600_000);

    /** Checks that nothing is missing. */
    public TaskParameters {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(use, "use");
    }

    /**
     * Reads the parameters.
     *
     * @param run the run time in ms, null for none
     * @param kind the kind, null for none
     * @param use milli-cores, MB and accelerators, null for none
     * @return the parameters
     * @throws ParseException if a number has another form or is out of range
     */
    public static TaskParameters parse(String run, String kind, String use) throws ParseException {
        Resources resources = use == null ? Resources.NONE : ResourcesParser.parse(use);
        return new TaskParameters(run == null ? 0 : micros(run), kind == null ? "" : kind, resources);
    }

    private static long micros(String millis) throws ParseException {
        try {
            BigDecimal number = new BigDecimal(millis);
            if (number.signum() >= 0 && number.compareTo(MAX_RUN_MILLIS) <= 0) {
                return number.multiply(MICROS_PER_MILLI).longValue();
            }
        } catch (NumberFormatException e) {
            throw new ParseException("'run' is no number of ms: " + millis, e);
        }
        throw new ParseException("'run' is not from 0 to " + MAX_RUN_MILLIS + " ms: " + millis);
    }
}
