package org.knapweedmount.core.entry;

/** How far a submission is; the steps between the states are in {@code submission.json}. */
enum SubmissionState {
    /** Its tasks are started as there are leases. */
    RUNNING,
    /** No further task is started; those in flight are awaited. */
    STOPPING,
    /** Every task has its result. */
    ENDED
}
