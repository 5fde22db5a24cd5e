package org.knapweedmount.core.worker;

/**
 * Estimates the worker's steady clock from its answers, never ahead of it.
 *
 * <p>The worker answered before the answer was received, and its clock may be slow, so that a time that is computed from
 * the receipt comes too early rather than too late.
 */
final class WorkerClock {
    private static final double SLOWEST_RATE = 0.98; // the platform allows the worker's clock to be 2% slow

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

    void forget() {
        known = false;
    }

    boolean known() {
        return known;
    }

    /** Returns a time that the worker's clock has reached, in ms. */
    long millis(long nowNanos) {
        return workerMillis + (long) (SLOWEST_RATE * WorkerTimings.millis(nowNanos - receivedNanos));
    }
}
