package org.knapweedmount.core.agent;

/** States of a lease; the transitions are defined in {@code lease.json}. */
enum LeaseState {
    /** Held by an entry and not used yet. */
    IDLE,
    /** Used by a running task. */
    USED,
    /** No longer valid. */
    CLOSED
}
