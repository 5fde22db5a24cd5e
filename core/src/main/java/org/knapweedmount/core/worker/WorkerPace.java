package org.knapweedmount.core.worker;

import java.util.OptionalLong;

/**
 * Estimates how much longer runs take on a worker than expected, from the progress that its lists show.
 *
 * <p>Load pattern: a worker turns several times slower for some seconds. Its runs end late, so that what has ended says
 * little about it; the progress of those that run shows the change within some lists. An agent that has just started is
 * slow itself, so that it takes no samples yet.
 */
final class WorkerPace {
    private static final double WEIGHT = 0.15; // some seven samples decide, each off by up to 40%
    private static final int PERCENT = 100;
    private static final double MIN_SLOWNESS = 0.3;
    private static final double MAX_SLOWNESS = 20;

    /** The time without samples after which half of the estimate's distance to 1 is forgotten, in ms. */
    private static final double HALF_LIFE_MILLIS = 500;

    /** The factor by which the estimate has to change to be worth a line in the log. */
    private static final double NOTED_FACTOR = 2;

    private double slowness = 1;
    private double noted = 1;
    private OptionalLong firstNanos = OptionalLong.empty();
    private long sampledNanos;

    void reset() {
        slowness = 1;
    }

    /** Takes the ratio of the time that some work took to the time that it was expected to take. */
    void observe(double ratio, long nowNanos) {
        if (firstNanos.isEmpty()) {
            firstNanos = OptionalLong.of(nowNanos);
        }
        if (WorkerTimings.isCold(nowNanos - firstNanos.getAsLong())) {
            return;
        }
        double bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
        double present = slowness(nowNanos);
        slowness = present + WEIGHT * (bounded - present);
        sampledNanos = nowNanos;
    }

    /** Tells whether the estimate has changed much since this was last true. */
    boolean changed(long nowNanos) {
        double present = slowness(nowNanos);
        if (present < NOTED_FACTOR * noted && noted < NOTED_FACTOR * present) {
            return false;
        }
        noted = present;
        return true;
    }

    /** Returns the estimate in percent. */
    int percent(long nowNanos) {
        return (int) Math.round(PERCENT * slowness(nowNanos));
    }

    /** Returns the estimate; it returns to 1 while nothing runs, so that the worker is tried again. */
    double slowness(long nowNanos) {
        double halves = WorkerTimings.millis(nowNanos - sampledNanos) / HALF_LIFE_MILLIS;
        return 1 + (slowness - 1) * Math.pow(0.5, Math.max(0, halves));
    }
}
