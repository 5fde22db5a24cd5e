package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.config.Ticket;

/**
 * Distributes accepted tickets; the receiver applies an object only if the ticket's number is higher than that of the
 * object it has.
 *
 * @param tickets the tickets, in any order
 */
public record ConfigUpdate(List<Ticket> tickets) implements Message {
    /** Copies the list of tickets. */
    public ConfigUpdate {
        tickets = List.copyOf(tickets);
    }
}
