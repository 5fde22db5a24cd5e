package org.knapweedmount.core.entry;

/** The state of a submission; the transitions are in {@code submission.json}. */
enum SubmissionState {
    /** Its tasks are started as leases become available. */
    RUNNING,
    /** No further task is started; those in flight are awaited. */
    STOPPING,
    /** Every task has its result. */
    ENDED
}
