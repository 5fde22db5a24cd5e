package org.knapweedmount.api.message;

/**
 * Tells the highest ticket number that the sender has applied, right after it did.
 *
 * @param number the ticket's number
 */
public record ConfigApplied(long number) implements Message {}
