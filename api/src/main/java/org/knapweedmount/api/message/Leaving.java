package org.knapweedmount.api.message;

/**
 * Tells that the sender is draining: it takes no new work and finishes what it has.
 *
 * @param reason a few words for the log
 */
public record Leaving(String reason) implements Message {}
