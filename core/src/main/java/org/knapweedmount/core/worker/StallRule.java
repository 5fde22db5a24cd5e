package org.knapweedmount.core.worker;

/**
 * Decides when a run no longer gets on.
 *
 * <p>Load pattern: on some workers tasks stand still while the worker answers as usual. A run whose share of work done has
 * not changed for several times its expected duration is stopped and tried elsewhere; the bound is generous, because
 * declared run times are often far off and slow workers still finish.
 */
final class StallRule {
    /** Expected durations without progress; estimates are up to 40% short and workers up to 8 times slow. */
    private static final int EXPECTED_DURATIONS = 3;

    /** The shortest time without progress, in ms; several lists of the worker fall into it. */
    private static final int MIN_MILLIS = 600;

    private StallRule() {}

    static boolean stalled(HeldRun run, long nowNanos) {
        long allowedMillis =
                Math.max(MIN_MILLIS, (long) EXPECTED_DURATIONS * run.item().expectedMillis());
        return nowNanos - run.progressNanos() > WorkerTimings.nanos(allowedMillis);
    }
}
