package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.RelayRequest;
import org.knapweedmount.api.message.RelayRequest.Operation;

/**
 * A request about a submission whose ID another entry has issued, or whose outcome this entry does not know.
 *
 * @param requester the receiver of the answer
 * @param operation the requested operation
 * @param id the submission
 * @param job the job, present if it is to be submitted
 * @param awaitEnd true to answer when the submission has ended, false to answer with the current state
 */
record ForeignRequest(
        Requester requester, Operation operation, SubmissionId id, Optional<JobSpec> job, boolean awaitEnd) {
    static ForeignRequest submit(SubmissionId id, JobRequest request) {
        return new ForeignRequest(
                request.requester(), Operation.SUBMIT, id, Optional.of(request.job()), request.awaitEnd());
    }

    static ForeignRequest status(SubmissionId id, Requester requester, boolean awaitEnd) {
        return new ForeignRequest(requester, Operation.STATUS, id, Optional.empty(), awaitEnd);
    }

    static ForeignRequest cancel(SubmissionId id, Requester requester) {
        return new ForeignRequest(requester, Operation.CANCEL, id, Optional.empty(), true);
    }

    /** Converts a request that an entry of another region has relayed. */
    static ForeignRequest relayed(Requester requester, RelayRequest request) {
        return new ForeignRequest(
                requester, request.operation(), request.submission(), request.job(), request.awaitEnd());
    }

    RelayRequest message(long number) {
        return new RelayRequest(number, operation, id, job, awaitEnd);
    }
}
