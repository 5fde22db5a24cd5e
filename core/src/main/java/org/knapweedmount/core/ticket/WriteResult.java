package org.knapweedmount.core.ticket;

/** What is known of the write of a ticket. */
public enum WriteResult {
    /** It has taken effect. */
    COMMITTED,
    /** It has no effect, because a row had another version. */
    CONFLICT,
    /** It has no effect, because the table service did not take it. */
    UNAVAILABLE,
    /** Its answer was lost. */
    UNKNOWN
}
