package org.knapweedmount.core.ticket;

import java.util.List;

/** What an operator is told about a ticket. */
public sealed interface TicketAnswer {
    /** The ticket is accepted and goes in force. */
    record Accepted() implements TicketAnswer {}

    /** The same ticket was accepted before. */
    record AlreadyAccepted() implements TicketAnswer {}

    /**
     * The ticket is not accepted and never will be under this number.
     *
     * @param highest the highest accepted number
     * @param detail why
     */
    record Refused(long highest, String detail) implements TicketAnswer {}

    /**
     * The ticket is not accepted, because the configuration would not fit together.
     *
     * @param problems a sentence for each problem
     */
    record Invalid(List<String> problems) implements TicketAnswer {
        /** Copies the problems. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /** The ticket is not accepted, because the table service did not take it; it may be sent again. */
    record NotAccepted() implements TicketAnswer {}

    /** Whether the ticket is accepted is not known; it may be sent again with the same number and content. */
    record Unknown() implements TicketAnswer {}
}
