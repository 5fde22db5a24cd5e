package org.knapweedmount.api.message;

/**
 * Shows that the sender is alive; sent when no other message was sent during the heartbeat interval.
 *
 * @param configNumber the highest ticket number that the sender has applied
 */
public record Heartbeat(long configNumber) implements Message {}
