package org.knapweedmount.api.message;

/**
 * Renews the lease under which an entry's runs execute on a worker.
 *
 * @param timestampNanos the newest timestamp that the entry has received from the agent, at which the renewed lease
 *     begins, in ns of the worker's clock
 */
public record LeaseRenewal(long timestampNanos) implements Message {}
