package org.knapweedmount.core.cost;

import java.util.concurrent.TimeUnit;

/**
 * The predicted duration of a run of a task on a worker, by its terms.
 *
 * @param expectedMillis the expected duration on a worker of median speed, in ms
 * @param slowdown the ratio of run times on the worker to those on the median worker of its service
 * @param dataFactor how many times as long the run takes because its data is on another rack, 1 if it is not
 * @param interference how many times as long the run takes beside the runs that are on the worker
 * @param coldMillis how much longer the worker is slow after its start, in ms
 * @param waitMillis how long the run would wait for capacity before it starts, in ms
 */
public record RunCost(
        double expectedMillis,
        double slowdown,
        double dataFactor,
        double interference,
        double coldMillis,
        double waitMillis) {
    /** How many times as long runs take on a worker that is slow after its start. */
    public static final double COLD_FACTOR = 2;

    /**
     * Returns the duration of the run, from its start to its end.
     *
     * @return the duration, in ms
     */
    public double durationMillis() {
        return withCold(expectedMillis * slowdown * dataFactor * interference, coldMillis);
    }

    /**
     * Returns when the run would end.
     *
     * @param nowNanos the current time, in ns
     * @return the end, in ns
     */
    public long endNanos(long nowNanos) {
        return nowNanos + (long) ((waitMillis + durationMillis()) * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /**
     * Adds to a duration what the run loses while its worker is slow after its start.
     *
     * @param warmMillis the duration on the same worker without that, in ms
     * @param coldMillis how much longer the worker is slow, in ms
     * @return the duration, in ms
     */
    public static double withCold(double warmMillis, double coldMillis) {
        if (coldMillis <= 0) {
            return warmMillis;
        }
        double whileColdMillis = warmMillis * (COLD_FACTOR - 1);
        double untilWarmMillis = coldMillis * (1 - 1 / COLD_FACTOR);
        return warmMillis + Math.min(whileColdMillis, untilWarmMillis);
    }
}
