package org.knapweedmount.core.ticket;

/** What is to be done next to accept a ticket. */
public sealed interface TicketStep {
    /** Read the head row, then the ticket's row. */
    record Read() implements TicketStep {}

    /**
     * Write the ticket, on condition that the head row still has the version that was read.
     *
     * @param headVersion the version, 0 if there is no head row
     */
    record Write(long headVersion) implements TicketStep {}

    /**
     * Tell the operator.
     *
     * @param answer the answer
     */
    record Done(TicketAnswer answer) implements TicketStep {}
}
