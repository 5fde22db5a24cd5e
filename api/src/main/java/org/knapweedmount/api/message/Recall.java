package org.knapweedmount.api.message;

/**
 * Asks an entry to release idle leases.
 *
 * @param service the name of the service that the slots belong to
 * @param count the number of leases to release
 */
public record Recall(String service, int count) implements Message {}
