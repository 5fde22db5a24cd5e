package org.knapweedmount.core.worker.health;

import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * The times of a worker's cold start and of its departure, as it has announced them.
 *
 * <p>Load pattern: a worker that has just started is slow for some seconds, which says nothing about its speed. A worker
 * that leaves gives notice of 1.5 s or more while runs of 86 ms to 3.6 s are active: those that cannot end in time are
 * stopped at once, so that they start elsewhere while there is time to take their checkpoints.
 *
 * <p>Not thread-safe. Times are of a monotonic clock, in ns.
 */
public final class WorkerLifecycle {
    /** The time before the departure by which a run has to end, in ms: to stop a run takes 50 ms, a list a few more. */
    private static final int STOP_MARGIN_MILLIS = 100;

    private static final int PERCENT = 100;

    private OptionalLong coldUntilNanos = OptionalLong.empty();
    private OptionalLong departureNanos = OptionalLong.empty();

    /** Creates the times of a warm worker that stays. */
    public WorkerLifecycle() {
        // Nothing is known.
    }

    /**
     * The expected rest of a run.
     *
     * @param expectedMillis how long the whole run takes on a worker of median speed, in ms
     * @param percent the completed part when it last made progress, in percent
     * @param progressNanos when it last made progress, in ns
     */
    public record Progress(int expectedMillis, int percent, long progressNanos) {
        /** Returns when the run is expected to end on a worker with a slowdown, in ns. */
        long endNanos(double slowdown) {
            double restMillis = slowdown * Math.max(1, expectedMillis) * (PERCENT - percent) / PERCENT;
            return progressNanos + (long) (restMillis * TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    /** Forgets what an earlier incarnation has announced. */
    public void reset() {
        coldUntilNanos = OptionalLong.empty();
        departureNanos = OptionalLong.empty();
    }

    /**
     * Records an announcement.
     *
     * @param coldMillis how much longer the worker is slow, in ms; empty if it does not say
     * @param draining true if the worker is about to leave
     * @param remainingMillis the minimum time until it leaves, in ms; empty if it does not say
     * @param nowNanos the current time, in ns
     */
    public void announced(OptionalInt coldMillis, boolean draining, OptionalInt remainingMillis, long nowNanos) {
        if (coldMillis.orElse(0) > 0) {
            coldUntilNanos = after(coldMillis, nowNanos);
        } else if (wasColdAt(nowNanos)) {
            coldUntilNanos = OptionalLong.of(nowNanos);
        }
        departureNanos = draining ? after(remainingMillis, nowNanos) : OptionalLong.empty();
    }

    private static OptionalLong after(OptionalInt millis, long nowNanos) {
        return millis.isPresent()
                ? OptionalLong.of(nowNanos + TimeUnit.MILLISECONDS.toNanos(millis.getAsInt()))
                : OptionalLong.empty();
    }

    /**
     * Returns how much longer the worker is slow after its start.
     *
     * @param nowNanos the current time, in ns
     * @return the time, in ms, rounded up; 0 if it is warm
     */
    public int coldMillis(long nowNanos) {
        if (!wasColdAt(nowNanos)) {
            return 0;
        }
        long leftNanos = coldUntilNanos.getAsLong() - nowNanos;
        return (int) ((leftNanos + TimeUnit.MILLISECONDS.toNanos(1) - 1) / TimeUnit.MILLISECONDS.toNanos(1));
    }

    /**
     * Returns whether the worker was cold at a time, so that a duration that began then says nothing about its speed.
     *
     * @param nanos the time, in ns
     * @return true if it was
     */
    public boolean wasColdAt(long nanos) {
        return coldUntilNanos.isPresent() && coldUntilNanos.getAsLong() - nanos > 0;
    }

    /**
     * Returns whether the worker leaves before a run can end, so that the run has to be stopped.
     *
     * @param progress the expected rest of the run
     * @param slowdown the ratio of actual to expected run times on the worker
     * @param nowNanos the current time, in ns
     * @return true if it does; always false without an announced time
     */
    public boolean endsBefore(Progress progress, double slowdown, long nowNanos) {
        if (departureNanos.isEmpty()) {
            return false;
        }
        long latestNanos = departureNanos.getAsLong() - TimeUnit.MILLISECONDS.toNanos(STOP_MARGIN_MILLIS);
        return latestNanos - nowNanos <= 0 || progress.endNanos(slowdown) - latestNanos > 0;
    }
}
