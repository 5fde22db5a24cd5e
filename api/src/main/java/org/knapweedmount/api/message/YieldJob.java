package org.knapweedmount.api.message;

/**
 * Asks an entry to stop a job that its caller has sent again to the sender; answered by {@link JobOwnershipUpdate} once no run of the
 * job is left.
 *
 * @param job the job's id
 */
public record YieldJob(String job) implements Message {}
