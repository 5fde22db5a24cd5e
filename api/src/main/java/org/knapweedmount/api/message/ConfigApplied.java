package org.knapweedmount.api.message;

/**
 * Reports the highest ticket number that the sender has applied; sent as soon as it has applied that ticket.
 *
 * @param number the ticket's number
 */
public record ConfigApplied(long number) implements Message {}
