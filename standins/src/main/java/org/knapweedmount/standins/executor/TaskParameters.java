package org.knapweedmount.standins.executor;

import java.math.BigDecimal;
import java.util.Objects;

import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.Resources;

/**
 * The parameters of a task in the query of its path, for instance {@code run=12.5&kind=k&use=500,64,0}.
 *
 * @param runMicros the requested run time, in µs
 * @param kind the task kind for which the resource usage is reported, empty if it is not reported
 * @param use the worker resources that the task uses, which may differ from those declared for it
 */
public record TaskParameters(long runMicros, String kind, Resources use) {
    private static final BigDecimal MICROS_PER_MILLI = BigDecimal.valueOf(1_000);
    private static final BigDecimal MAX_RUN_MILLIS = BigDecimal.valueOf(3_600_000);

    /** Checks that no reference is null. */
    public TaskParameters {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(use, "use");
    }

    /**
     * Parses the query parameters.
     *
     * @param run the run time in ms, null if missing
     * @param kind the task kind, null if missing
     * @param use milli-cores, MB and accelerators, null if missing
     * @return the parameters
     * @throws ParseException if a number is malformed or out of range
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
            throw new ParseException("'run' must be a number of ms, but is: " + millis, e);
        }
        throw new ParseException("'run' must be from 0 to " + MAX_RUN_MILLIS + " ms, but is: " + millis);
    }
}
