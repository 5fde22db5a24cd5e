package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.config.Ticket;

/**
 * Passes on accepted tickets; the receiver applies each object only if its number is higher than the one it has.
 *
 * @param tickets the tickets, in any order
 */
public record ConfigUpdate(List<Ticket> tickets) implements Message {
    /** Copies the list. */
    public ConfigUpdate {
        tickets = List.copyOf(tickets);
    }
}
