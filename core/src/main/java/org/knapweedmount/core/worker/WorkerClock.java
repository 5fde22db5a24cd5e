package org.knapweedmount.core.worker;

/**
 * Estimates a lower bound of the worker's monotonic clock from its answers.
 *
 * <p>The worker answered before the answer was received, and its clock may be slow, so a time computed from the receipt
 * is early rather than late.
 */
final class WorkerClock {
    private boolean known;
    private long workerMillis;
    private long receivedNanos;

    void observe(long clockMillis, long nowNanos) {
        if (known && millis(nowNanos) > clockMillis) {
            return;
        }
        known = true;
        workerMillis = clockMillis;
        receivedNanos = nowNanos;
    }

    void reset() {
        known = false;
    }

    boolean known() {
        return known;
    }

    /** Returns how long ago the clock was last read, in ns. */
    long ageNanos(long nowNanos) {
        return nowNanos - receivedNanos;
    }

    /** Returns a time that the worker's clock has reached, in ms. */
    long millis(long nowNanos) {
        return workerMillis + (long) (WorkerTimings.MIN_CLOCK_RATE * WorkerTimings.millis(nowNanos - receivedNanos));
    }

    /** Returns when the worker's clock must have reached a time, by the clock of the agent, in ns. */
    long reachedNanos(long millis) {
        double restMillis = Math.max(0, millis - workerMillis) / WorkerTimings.MIN_CLOCK_RATE;
        return receivedNanos + WorkerTimings.nanos((long) Math.ceil(restMillis));
    }
}
