package org.knapweedmount.core.ticket;

import java.util.List;

/** The answer to an operator who submitted a ticket. */
public sealed interface TicketAnswer {
    /** The ticket is accepted and will be applied. */
    record Accepted() implements TicketAnswer {}

    /** The same ticket was accepted before. */
    record AlreadyAccepted() implements TicketAnswer {}

    /**
     * The ticket is not accepted and never will be under its number.
     *
     * @param highest the highest accepted number
     * @param detail the reason
     */
    record Refused(long highest, String detail) implements TicketAnswer {}

    /**
     * The ticket is not accepted, because the resulting configuration would be inconsistent.
     *
     * @param problems the descriptions of the problems
     */
    record Invalid(List<String> problems) implements TicketAnswer {
        /** Copies the problems. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /** The ticket is not accepted, because the table service was unavailable; it may be sent again. */
    record NotAccepted() implements TicketAnswer {}

    /** It is unknown whether the ticket is accepted; it may be sent again with the same number and content. */
    record Unknown() implements TicketAnswer {}
}
