package org.knapweedmount.api.message;

/**
 * Shows that the sender runs; sent when nothing else was sent for the heartbeat interval.
 *
 * @param configNumber the highest ticket number that the sender has applied
 */
public record Heartbeat(long configNumber) implements Message {}
