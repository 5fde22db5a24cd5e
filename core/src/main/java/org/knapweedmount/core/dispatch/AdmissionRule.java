package org.knapweedmount.core.dispatch;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a job is refused when it arrives, because the work ahead of it leaves it no chance to be done in time.
 *
 * <p>Load pattern: work arrives faster than all workers together can do it, for seconds. The queue then holds as much as
 * can be done in time and no more; a caller beyond that learns at once that its job has not run and when to come back,
 * rather than after its time is used up. While no worker is known, as for a moment after a restart, only jobs that can wait
 * until workers have found the entry are admitted.
 */
final class AdmissionRule {
    /** The part of the cores that queued work gets: tasks do not fill workers evenly, and some room is kept free. */
    private static final double USABLE_CORE_FRACTION = 0.85;

    /** How long it takes until a worker is known after the start of an entry, in ms. */
    private static final int WORKER_DISCOVERY_MILLIS = 500;

    private static final int MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final int MAX_RETRY_AFTER_MILLIS = 30_000;

    private AdmissionRule() {}

    /**
     * Judges a job.
     *
     * @param job the job
     * @param coreMillisAhead the queued work that gets room before this job, in milliseconds of a core
     * @param queuedCoreMillis all queued work, in milliseconds of a core
     * @param cores the cores of all open workers
     * @param nowNanos the present time, in ns
     * @return the time after which the caller may come back, in ms; empty if the job is admitted
     */
    static Optional<Integer> retryAfterMillis(
            TrackedJob job, double coreMillisAhead, double queuedCoreMillis, double cores, long nowNanos) {
        if (cores <= 0) {
            long slackNanos = job.latestStartNanos() - nowNanos;
            boolean canWait = slackNanos >= TimeUnit.MILLISECONDS.toNanos(WORKER_DISCOVERY_MILLIS);
            return canWait ? Optional.empty() : Optional.of(MIN_RETRY_AFTER_MILLIS);
        }
        double finishMillis = coreMillisAhead / (USABLE_CORE_FRACTION * cores) + job.criticalPathMillis();
        long finishNanos = nowNanos + (long) (finishMillis * TimeUnit.MILLISECONDS.toNanos(1));
        if (finishNanos - Math.min(job.targetNanos(), job.request().deadlineNanos()) <= 0) {
            return Optional.empty();
        }
        double drainMillis = queuedCoreMillis / cores;
        return Optional.of((int) Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, drainMillis)));
    }
}
