package org.knapweedmount.core.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Decides in which order queued jobs get room.
 *
 * <p>Load pattern: a flood of one kind of jobs meets a steady stream of others. The queue with the least work under way
 * comes first ({@link QueueShares}). Within a queue a job that has begun is finished before others, even if it has become
 * late, because a job is of use only as a whole; then comes the job that has to start soonest. Jobs that cannot be done in
 * time any more and have not begun get the room that all these leave.
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

    /** Tells whether a job goes before those that are late. */
    static boolean isPreferred(TrackedJob job, long nowNanos) {
        return job.hasStarted() || canMeetTarget(job, nowNanos);
    }

    /** Tells whether a job that starts now can be done in time. */
    static boolean canMeetTarget(TrackedJob job, long nowNanos) {
        return job.latestStartNanos() - nowNanos >= 0;
    }

    /** Tells whether a job that starts now is still of use to its caller. */
    static boolean canFinishBeforeExpiry(TrackedJob job, long nowNanos) {
        long criticalPathNanos = (long) (job.criticalPathMillis() * TimeUnit.MILLISECONDS.toNanos(1));
        return nowNanos + criticalPathNanos - job.expiryNanos() <= 0;
    }
}
