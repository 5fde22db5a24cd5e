package org.knapweedmount.core.dispatch;

import java.util.Optional;

/** Decides when a job is answered because it is too late for a useful result. */
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
}
