package org.knapweedmount.core.dispatch;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether a job is refused on arrival because the work queued ahead of it would make it miss its target.
 *
 * <p>Load pattern: work arrives faster than all workers together can process it, for seconds. The queue is limited to
 * what can be completed in time; callers beyond that learn at once that their job has not run and when to retry, rather
 * than after a timeout. While no worker is known, for example just after a restart, only jobs that can wait until
 * workers have discovered the entry are admitted.
 */
final class AdmissionRule {
    /**
     * The fraction of the cores that queued work can use; tasks do not pack workers evenly, and headroom is kept free.
     */
    private static final double USABLE_CORE_FRACTION = 0.85;

    /** The time until a worker is known after the start of an entry, in ms. */
    private static final int WORKER_DISCOVERY_MILLIS = 500;

    private static final int MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final int MAX_RETRY_AFTER_MILLIS = 30_000;

    private AdmissionRule() {}

    /**
     * Returns the retry time if a job is refused.
     *
     * @param job the job
     * @param coreMillisAhead the queued work that is scheduled before this job, in core-milliseconds
     * @param queuedCoreMillis all queued work, in core-milliseconds
     * @param cores the cores of all workers that accept starts
     * @param nowNanos the current time, in ns
     * @return the time after which the caller may retry, in ms; empty if the job is admitted
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
