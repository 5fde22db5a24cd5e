package org.knapweedmount.core.dispatch;

/** What a caller is told who has cancelled a job. */
public enum CancelResult {
    /** The job was held and has been ended; it is not run again. */
    CANCELLED,
    /** No entry holds the job. */
    NOT_HELD,
    /** An entry that may hold the job has not answered; the caller may try again. */
    UNCONFIRMED
}
