package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.TaskResult;

/**
 * The record of a submission that has ended.
 *
 * @param answer the answer
 * @param digest the digest of the job, empty if the job is not known
 */
record EndedJob(JobAnswer answer, Optional<JobDigest> digest) {
    private static final int OVERHEAD_BYTES = 500;
    private static final int TASK_OVERHEAD_BYTES = 50;

    /** Returns whether a resubmission has a different job from the one that has ended. */
    boolean conflicts(JobSpec job) {
        return digest.isPresent() && !digest.get().equals(JobDigest.of(job));
    }

    /** Returns the approximate memory use in bytes. */
    int bytes() {
        int bytes = OVERHEAD_BYTES;
        for (TaskResult result : answer.results()) {
            bytes += result.body().size() + OVERHEAD_BYTES;
        }
        for (TaskResult task : answer.tasks()) {
            bytes += task.body().size() + TASK_OVERHEAD_BYTES;
        }
        return bytes;
    }
}
