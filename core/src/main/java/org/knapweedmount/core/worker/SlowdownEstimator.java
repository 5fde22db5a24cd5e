package org.knapweedmount.core.worker;

import java.util.OptionalLong;

/**
 * Estimates the ratio of actual to expected run times on a worker, from the progress in its run lists; logged
 * as event {@code worker-pace}.
 *
 * <p>Load pattern: a worker becomes several times slower for some seconds. Its runs end late, so ended runs say little
 * about it; the progress of active runs shows the change within a few lists. An agent that has just started is slow
 * itself, so it takes no samples yet.
 */
final class SlowdownEstimator {
    private static final double SMOOTHING_FACTOR = 0.15; // about seven samples decide, each off by up to 40%
    private static final int PERCENT = 100;
    private static final double MIN_SLOWDOWN = 0.3;
    private static final double MAX_SLOWDOWN = 20;

    /** The time without samples in which the distance of the estimate to 1 halves, in ms. */
    private static final double HALF_LIFE_MILLIS = 500;

    /** The factor by which the estimate has to change to be logged. */
    private static final double LOGGED_CHANGE_FACTOR = 2;

    private double estimate = 1;
    private double lastLogged = 1;
    private OptionalLong firstNanos = OptionalLong.empty();
    private long sampledNanos;

    void reset() {
        estimate = 1;
    }

    /** Records the ratio of the actual to the expected time of some work. */
    void observe(double ratio, long nowNanos) {
        if (firstNanos.isEmpty()) {
            firstNanos = OptionalLong.of(nowNanos);
        }
        if (WorkerTimings.isWarmingUp(nowNanos - firstNanos.getAsLong())) {
            return;
        }
        double bounded = Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, ratio));
        double current = estimate(nowNanos);
        estimate = current + SMOOTHING_FACTOR * (bounded - current);
        sampledNanos = nowNanos;
    }

    /** Returns whether the estimate has changed considerably since this method last returned true. */
    boolean hasChanged(long nowNanos) {
        double current = estimate(nowNanos);
        if (current < LOGGED_CHANGE_FACTOR * lastLogged && lastLogged < LOGGED_CHANGE_FACTOR * current) {
            return false;
        }
        lastLogged = current;
        return true;
    }

    /** Returns the estimate in percent. */
    int percent(long nowNanos) {
        return (int) Math.round(PERCENT * estimate(nowNanos));
    }

    /** Returns the estimate; it decays to 1 without samples, so that the worker is tried again. */
    double estimate(long nowNanos) {
        double halfLives = WorkerTimings.millis(nowNanos - sampledNanos) / HALF_LIFE_MILLIS;
        return 1 + (estimate - 1) * Math.pow(0.5, Math.max(0, halfLives));
    }
}
