package org.knapweedmount.api.message;

import java.util.Optional;

import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.SubmissionId;

/**
 * Forwards a caller's request to the entry that issued the submission ID.
 *
 * @param request a number that the answer repeats
 * @param operation the operation that the caller requests
 * @param submission the submission ID
 * @param job the job, present if the operation is {@link Operation#SUBMIT}
 * @param awaitEnd true if the answer is to be sent when the submission has ended, false if it is to be sent at once
 */
public record RelayRequest(
        long request, Operation operation, SubmissionId submission, Optional<JobSpec> job, boolean awaitEnd)
        implements Message {
    /** An operation on a submission. */
    public enum Operation {
        /** Submits the job, or waits for the same submission if it has been submitted before. */
        SUBMIT,
        /** Returns the state of the submission. */
        STATUS,
        /** Cancels the submission. */
        CANCEL
    }
}
