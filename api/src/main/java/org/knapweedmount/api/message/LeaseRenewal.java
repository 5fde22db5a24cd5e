package org.knapweedmount.api.message;

/**
 * Renews the lease of an entry's runs on a worker.
 *
 * @param timestampNanos the newest stamp that the entry has from the agent, from which the lease is counted
 */
public record LeaseRenewal(long timestampNanos) implements Message {}
