package org.knapweedmount.core.entry;

/** The events that change the state of a submission. */
enum SubmissionEvent {
    /** It can no longer become complete, or was cancelled. */
    STOPPED,
    /** The last of its tasks has its result. */
    LAST_TASK_ENDED
}
