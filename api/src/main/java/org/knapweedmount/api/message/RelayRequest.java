package org.knapweedmount.api.message;

import java.util.Optional;

import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.SubmissionId;

/**
 * Passes a caller's request on to the entry that issued the submission's id.
 *
 * @param request a number that the answer repeats
 * @param operation what the caller wants
 * @param submission the submission
 * @param job the job, present if the operation is {@link Operation#SUBMIT}
 * @param awaitEnd true if the answer is wanted when the submission has ended, false for the present state
 */
public record RelayRequest(
        long request, Operation operation, SubmissionId submission, Optional<JobSpec> job, boolean awaitEnd)
        implements Message {
    /** What a caller wants of a submission. */
    public enum Operation {
        /** Start it, or join it if it has been submitted before. */
        SUBMIT,
        /** Tell its state. */
        STATUS,
        /** Cancel it. */
        CANCEL
    }
}
