package org.knapweedmount.core.agent;

/** Events of the state chart of a lease. */
enum LeaseEvent {
    /** A task was started under the lease. */
    STARTED,
    /** A start under the lease was refused. */
    REFUSED,
    /** The entry released the lease. */
    RELEASED,
    /** The agent revoked the lease: the entry is unresponsive or unlinked, or the slot no longer exists. */
    LAPSED,
    /** The task that was started under the lease has ended. */
    TASK_ENDED
}
