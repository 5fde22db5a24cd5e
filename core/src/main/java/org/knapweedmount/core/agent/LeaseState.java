package org.knapweedmount.core.agent;

/** Where a lease is in its life; the steps between the states are in {@code lease.json}. */
enum LeaseState {
    /** In the pool of an entry. */
    IDLE,
    /** Used up by a task that runs. */
    USED,
    /** Of no use any more. */
    CLOSED
}
