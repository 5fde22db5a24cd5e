package org.knapweedmount.core.ticket;

/** Result of the write of a ticket. */
public enum WriteResult {
    /** The write has taken effect. */
    COMMITTED,
    /** The write had no effect, because a row had another version. */
    CONFLICT,
    /** The write had no effect, because the table service did not accept it. */
    UNAVAILABLE,
    /** The response was lost, so the effect is unknown. */
    UNKNOWN
}
