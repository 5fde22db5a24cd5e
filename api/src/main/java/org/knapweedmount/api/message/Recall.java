package org.knapweedmount.api.message;

/**
 * Asks an entry for idle leases back.
 *
 * @param service the service whose slots they are
 * @param count how many leases the agent wants back
 */
public record Recall(String service, int count) implements Message {}
