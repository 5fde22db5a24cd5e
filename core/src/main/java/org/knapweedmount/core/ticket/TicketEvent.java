package org.knapweedmount.core.ticket;

/** Events of the state chart of a ticket at the entry that received it. */
enum TicketEvent {
    /** A write of the ticket is requested. */
    WRITE_SENT,
    /** The ticket was read back as accepted. */
    FOUND,
    /** An equal or higher number, or a different ticket under the same number, is already accepted. */
    OUTRANKED,
    /** The ticket is inconsistent with the configuration that it would be applied to. */
    INVALID,
    /** The write has taken effect. */
    COMMITTED,
    /** The write had no effect, because the head row had another version. */
    CONFLICT,
    /** The response to the write was lost. */
    ANSWER_LOST,
    /** The version of the head row has changed, so a write with a lost response can no longer take effect. */
    RULED_OUT,
    /** The table service is unavailable, or the maximum number of writes is reached. */
    GIVEN_UP,
    /** The ticket was applied to the configuration of this entry. */
    APPLIED
}
