package org.knapweedmount.core.ticket;

import java.util.Optional;

import org.knapweedmount.api.config.Ticket;

/**
 * The rows of the table service that concern a ticket; the head row was read before the ticket's row.
 *
 * @param headNumber the highest accepted number, 0 if there is none
 * @param headVersion the version of the head row, 0 if there is no head row
 * @param acceptedTicket the ticket accepted under the same number, empty if there is none
 */
public record TicketView(long headNumber, long headVersion, Optional<Ticket> acceptedTicket) {}
