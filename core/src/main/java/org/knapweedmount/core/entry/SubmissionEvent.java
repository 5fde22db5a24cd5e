package org.knapweedmount.core.entry;

/** What changes the state of a submission. */
enum SubmissionEvent {
    /** It cannot become complete any more, or was cancelled. */
    STOPPED,
    /** The last of its tasks has its result. */
    LAST_TASK_ENDED
}
