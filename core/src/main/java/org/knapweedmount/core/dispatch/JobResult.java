package org.knapweedmount.core.dispatch;

/**
 * The final answer to a job.
 *
 * @param kind what became of it
 * @param reason why
 * @param retryAfterMillis when the caller may come back, in ms; 0 if that makes no difference
 */
public record JobResult(Kind kind, String reason, int retryAfterMillis) {
    /** What became of a job. */
    public enum Kind {
        /** All tasks are done. */
        COMPLETED,
        /** A task failed too often, or the job can never be done. */
        FAILED,
        /** Nothing of the job has run, nor will. */
        NOT_RUN,
        /** The job was given up after a part of it had run. */
        GIVEN_UP
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
}
