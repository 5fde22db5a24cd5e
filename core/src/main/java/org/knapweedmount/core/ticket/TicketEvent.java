package org.knapweedmount.core.ticket;

/** What happens in the life of a ticket at the entry that decides on it. */
enum TicketEvent {
    /** It is to be written. */
    WRITE_SENT,
    /** It was found to be accepted. */
    FOUND,
    /** A higher number, or another ticket with its number, was found to be accepted. */
    OUTRANKED,
    /** It does not fit to the configuration that it was to be written on. */
    INVALID,
    /** The write has taken effect. */
    COMMITTED,
    /** The write has no effect, because the head row had another version. */
    CONFLICT,
    /** The answer to the write was lost. */
    ANSWER_LOST,
    /** The head row has another version than the lost write needs, so that it can no longer take effect. */
    RULED_OUT,
    /** The table service cannot be asked, or enough was tried. */
    GIVEN_UP,
    /** It was applied to the configuration of this entry. */
    APPLIED
}
