package org.knapweedmount.core.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides the order in which queued jobs get capacity.
 *
 * <p>Load pattern: a burst of one kind of jobs meets a steady stream of others. The queue with the least running work
 * comes first ({@link QueueShares}). Within a queue a started job precedes others even if it is late, because a job is
 * only useful when complete; then the job with the earliest latest-start time. Jobs that have not started and can no
 * longer meet their target get the remaining capacity.
 */
final class JobOrder {
    private JobOrder() {}

    static List<TrackedJob> sorted(List<TrackedJob> jobs, QueueShares shares, long nowNanos) {
        return jobs.stream().sorted(comparator(shares, nowNanos)).toList();
    }

    private static Comparator<TrackedJob> comparator(QueueShares shares, long nowNanos) {
        return Comparator.<TrackedJob, Boolean>comparing(job -> !isPreferred(job, nowNanos))
                .thenComparingDouble(job -> shares.cores(job.request().queue().name()))
                .thenComparing(job -> !job.hasStarted())
                .thenComparingLong(TrackedJob::latestStartNanos)
                .thenComparing(TrackedJob::id);
    }

    /** Returns whether a job precedes late ones. */
    static boolean isPreferred(TrackedJob job, long nowNanos) {
        return job.hasStarted() || canMeetTarget(job, nowNanos);
    }

    /** Returns whether a job that starts now can meet its target. */
    static boolean canMeetTarget(TrackedJob job, long nowNanos) {
        return job.latestStartNanos() - nowNanos >= 0;
    }

    /** Returns whether a job that starts now can finish before it expires. */
    static boolean canFinishBeforeExpiry(TrackedJob job, long nowNanos) {
        long criticalPathNanos = (long) (job.criticalPathMillis() * TimeUnit.MILLISECONDS.toNanos(1));
        return nowNanos + criticalPathNanos - job.expiryNanos() <= 0;
    }
}
