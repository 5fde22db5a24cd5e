package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;

/**
 * The refusal of a job.
 *
 * @param reason the reason
 * @param detail the explanation for the caller
 * @param retryAfterMillis the time after which the caller should retry, in ms, 0 if waiting makes no difference
 */
record Refusal(Reason reason, String detail, int retryAfterMillis) {
    static Refusal of(Reason reason, String detail) {
        return new Refusal(reason, detail, 0);
    }

    JobAnswer answer(Optional<SubmissionId> id, Outcome outcome) {
        return JobAnswer.ended(id, outcome, reason, detail).retryAfter(retryAfterMillis);
    }
}
