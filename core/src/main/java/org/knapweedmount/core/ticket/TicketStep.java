package org.knapweedmount.core.ticket;

/** The next step in the acceptance of a ticket. */
public sealed interface TicketStep {
    /** Reads the head row, then the ticket's row. */
    record Read() implements TicketStep {}

    /**
     * Writes the ticket on the condition that the head row still has the version that was read.
     *
     * @param headVersion the version, 0 if there is no head row
     */
    record Write(long headVersion) implements TicketStep {}

    /**
     * Answers the operator; no further step follows.
     *
     * @param answer the answer
     */
    record Done(TicketAnswer answer) implements TicketStep {}
}
