package org.knapweedmount.core.entry;

import java.util.Objects;
import java.util.Optional;

import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.SubmissionId;

/**
 * A caller's submission of a job or of a single request.
 *
 * @param id the ID if the caller uses an issued one
 * @param key the idempotency key if the caller uses one instead; with neither, the entry issues an ID that cannot be
 *     resubmitted
 * @param firstAttempt true if the caller states that it has not sent this key before, and that it no longer reads the
 *     answer to this request once it sends the key again
 * @param service the service of all tasks
 * @param job the job
 * @param awaitEnd true to answer when the submission has ended, false to answer once it is accepted
 */
public record SubmissionRequest(
        Optional<SubmissionId> id,
        Optional<String> key,
        boolean firstAttempt,
        String service,
        JobSpec job,
        boolean awaitEnd) {
    /** Checks that nothing is missing. */
    public SubmissionRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(job, "job");
    }
}
