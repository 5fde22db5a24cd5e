package org.knapweedmount.api.config;

import java.util.List;
import java.util.Objects;

/**
 * A change ticket: a numbered change of the configuration, with the complete new state of each object that it changes.
 *
 * @param number the ticket's number, from 1 up; of two tickets that change an object, the higher number takes effect
 * @param author who applied the ticket, for the audit trail
 * @param objects the new state of each object
 */
public record Ticket(long number, String author, List<ConfigObject> objects) {
    /**
     * Copies the list of objects and checks the ticket number.
     *
     * @throws IllegalArgumentException if the number is less than 1
     */
    public Ticket {
        Objects.requireNonNull(author, "author");
        objects = List.copyOf(objects);
        if (number < 1) {
            throw new IllegalArgumentException("ticket number must be at least 1, got " + number);
        }
    }
}
