package org.knapweedmount.core.dispatch;

/**
 * The final result of a job.
 *
 * @param kind the kind of result
 * @param reason why the job ended this way
 * @param retryAfterMillis when the caller may retry, in ms; 0 if the time makes no difference
 */
public record JobResult(Kind kind, String reason, int retryAfterMillis) {
    /** The kind of result. */
    public enum Kind {
        /** All tasks are done. */
        COMPLETED,
        /** A task reached its maximum number of attempts, or no worker is large enough for the job. */
        FAILED,
        /** No task has run and none will. */
        NOT_RUN,
        /** The job was abandoned, and a task may have run. */
        GIVEN_UP,
        /** A caller has cancelled the job; it is not run again. */
        CANCELLED
    }

    static JobResult completed() {
        return new JobResult(Kind.COMPLETED, "done", 0);
    }

    static JobResult failed(String reason) {
        return new JobResult(Kind.FAILED, reason, 0);
    }

    static JobResult notRun(String reason, int retryAfterMillis) {
        return new JobResult(Kind.NOT_RUN, reason, retryAfterMillis);
    }

    static JobResult givenUp(String reason) {
        return new JobResult(Kind.GIVEN_UP, reason, 0);
    }

    static JobResult cancelled() {
        return new JobResult(Kind.CANCELLED, "cancelled", 0);
    }
}
