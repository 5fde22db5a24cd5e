package org.knapweedmount.api.message;

/**
 * Asks an entry for an {@link OwnershipProbeReply}, which shows how recent the sender's knowledge of its jobs is.
 *
 * @param number the number of the probe at its sender
 */
public record OwnershipProbe(long number) implements Message {}
