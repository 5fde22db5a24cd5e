package org.knapweedmount.core.ticket;

/** States of a ticket at the entry that received it; the transitions are defined in {@code ticket.json}. */
public enum TicketState {
    /** No write of the ticket can take effect; the table service is being read. */
    PENDING,
    /** The ticket is being written, and no earlier write can take effect. */
    WRITING,
    /** The response to a write was lost; the table service is being read. */
    IN_DOUBT,
    /** The ticket is being written again while an earlier write may still take effect. */
    REWRITING,
    /** The ticket is accepted permanently, but not yet applied to the configuration of this entry. */
    ACCEPTED,
    /** The ticket is accepted and applied to the configuration of this entry. */
    IN_FORCE,
    /** The ticket is not accepted and never will be under its number. */
    REFUSED,
    /** The ticket is not accepted, because the resulting configuration would be inconsistent. */
    INVALID,
    /** The ticket is not accepted, because the table service was unavailable. */
    NOT_ACCEPTED,
    /** It could not be determined whether the ticket is accepted. */
    UNKNOWN;

    /** Returns whether an earlier write may have taken effect or may still do so. */
    boolean inDoubt() {
        return this == IN_DOUBT || this == REWRITING;
    }
}
