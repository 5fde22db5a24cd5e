package org.knapweedmount.api.message;

/**
 * Announces that the sender is draining: it accepts no new work and completes the work that it has.
 *
 * @param reason the reason for the drain, for the log
 */
public record Leaving(String reason) implements Message {}
