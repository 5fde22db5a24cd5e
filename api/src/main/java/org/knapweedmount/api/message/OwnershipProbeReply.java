package org.knapweedmount.api.message;

/**
 * Answers an {@link OwnershipProbe}. Every job that the sender held when it received the probe is in a
 * {@link JobOwnershipUpdate} that it has sent before on the same link.
 *
 * @param number the number of the probe
 */
public record OwnershipProbeReply(long number) implements Message {}
