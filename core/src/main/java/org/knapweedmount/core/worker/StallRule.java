package org.knapweedmount.core.worker;

/**
 * Decides when a run counts as stalled.
 *
 * <p>Load pattern: on some workers tasks stall while the worker answers as usual. A run whose progress has not changed
 * for several times its expected duration is stopped and retried elsewhere. The bound is generous, because declared run
 * times are often far off and slow workers still finish.
 */
final class StallRule {
    /**
     * The number of expected durations without progress; estimates are up to 40% short and workers up to 8 times slow.
     */
    private static final int STALL_DURATION_FACTOR = 3;

    /** The minimum time without progress, in ms; several run lists are received in that time. */
    private static final int MIN_STALL_MILLIS = 600;

    private StallRule() {}

    static boolean isStalled(TrackedRun run, long nowNanos) {
        long allowedMillis = Math.max(
                MIN_STALL_MILLIS, (long) STALL_DURATION_FACTOR * run.request().expectedMillis());
        return nowNanos - run.progressNanos() > WorkerTimings.nanos(allowedMillis);
    }
}
