package org.knapweedmount.api.message;

/**
 * Asks an entry to stop a job that the caller has resubmitted to the sender; answered with a {@link JobOwnershipUpdate}
 * once no run of the job is active.
 *
 * @param job the job's ID
 */
public record YieldJob(String job) implements Message {}
