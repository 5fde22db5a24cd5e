package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;

/**
 * Why a job is not accepted.
 *
 * @param reason the reason
 * @param detail a sentence for the caller
 * @param retryAfterMillis how long the caller should wait before it tries again, in ms, 0 if it makes no difference
 */
record Refusal(Reason reason, String detail, int retryAfterMillis) {
    static Refusal of(Reason reason, String detail) {
        return new Refusal(reason, detail, 0);
    }

    JobAnswer answer(Optional<SubmissionId> id, Outcome outcome) {
        return JobAnswer.ended(id, outcome, reason, detail).retryAfter(retryAfterMillis);
    }
}
