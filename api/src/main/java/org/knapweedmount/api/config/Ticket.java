package org.knapweedmount.api.config;

import java.util.List;
import java.util.Objects;

/**
 * A change ticket: the whole new state of the objects that it touches.
 *
 * @param number the ticket's number; of two tickets that touch an object, the higher number is in force
 * @param author who applied the ticket, for the audit trail
 * @param objects the new state of each object
 */
public record Ticket(long number, String author, List<ConfigObject> objects) {
    /**
     * Copies the objects.
     *
     * @throws IllegalArgumentException if the number is less than 1
     */
    public Ticket {
        Objects.requireNonNull(author, "author");
        objects = List.copyOf(objects);
        if (number < 1) {
            throw new IllegalArgumentException("ticket numbers start at 1");
        }
    }
}
