package org.knapweedmount.core.ticket;

/** The life of a ticket as the entry that an operator sent it to sees it; the steps are in {@code ticket.json}. */
public enum TicketState {
    /** No write of it can take effect; the table service is being read. */
    PENDING,
    /** It is being written for the first time, or again after all earlier writes were ruled out. */
    WRITING,
    /** The answer to a write was lost; the table service is being read. */
    IN_DOUBT,
    /** It is being written again while an earlier write may still take effect. */
    REWRITING,
    /** It is accepted for good, but not yet applied here. */
    ACCEPTED,
    /** It is accepted, and applied to the configuration of this entry. */
    IN_FORCE,
    /** It is not accepted and never will be under its number. */
    REFUSED,
    /** It is not accepted, because the configuration would not fit together. */
    INVALID,
    /** It is not accepted, because the table service did not take it. */
    NOT_ACCEPTED,
    /** Whether it is accepted could not be found out. */
    UNKNOWN;

    /** Tells whether an earlier write may still take effect, or has done so. */
    boolean inDoubt() {
        return this == IN_DOUBT || this == REWRITING;
    }
}
