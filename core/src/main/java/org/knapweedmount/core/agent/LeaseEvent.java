package org.knapweedmount.core.agent;

/** What changes the state of a lease. */
enum LeaseEvent {
    /** A task was started under it. */
    STARTED,
    /** A start under it was refused. */
    REFUSED,
    /** The entry gave it back. */
    RELEASED,
    /** The agent took it back: the entry is silent or unlinked, or the slot is gone. */
    LAPSED,
    /** The task that was started under it has ended. */
    TASK_ENDED
}
