package org.knapweedmount.core.dispatch;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Decides when a job or a waiting request is answered because it is too late for a useful result. */
final class ExpiryRule {
    /** When the caller of a job that expired in the queue may retry, in ms; by then admission refuses excess jobs. */
    private static final int RETRY_AFTER_MILLIS = 1_000;

    private ExpiryRule() {}

    /** Returns the answer to a job that has expired, empty for any other. */
    static Optional<JobResult> result(TrackedJob job, long nowNanos) {
        boolean deadlinePassed = nowNanos - job.request().deadlineNanos() >= 0;
        boolean cannotFinish = job.hasQueued() && !JobOrder.canFinishBeforeExpiry(job, nowNanos);
        if (!deadlinePassed && !cannotFinish) {
            return Optional.empty();
        }
        return Optional.of(
                job.hasStarted() ? JobResult.givenUp("too late") : JobResult.notRun("too late", RETRY_AFTER_MILLIS));
    }

    /**
     * Returns whether a request has waited for so long that its job can no longer be of use. What it waits for need not come:
     * entries that start, stop or lack processor time answer late or never.
     *
     * @param criticalPathMillis the length of the job's critical path, in ms
     */
    static boolean hasWaitedTooLong(WaitingRequest waiting, double criticalPathMillis, long nowNanos) {
        long expiryNanos = TrackedJob.expiryNanos(waiting.request(), criticalPathMillis, waiting.readNanos());
        long criticalPathNanos = (long) (criticalPathMillis * TimeUnit.MILLISECONDS.toNanos(1));
        return nowNanos + criticalPathNanos - expiryNanos > 0;
    }
}
