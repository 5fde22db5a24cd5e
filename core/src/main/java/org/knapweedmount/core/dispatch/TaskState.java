package org.knapweedmount.core.dispatch;

/** The state of a task at its entry. */
enum TaskState {
    /** A preceding step is not done yet. */
    BLOCKED,
    /** The task waits for capacity. */
    QUEUED,
    /** A run was ordered and its end has not been reported. */
    ORDERED,
    /** The task is done, or its job has been abandoned. */
    ENDED
}
