package org.knapweedmount.daemon.http;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;

/**
 * A refusal or failure that is sent as a problem document.
 *
 * @param status the HTTP status code
 * @param reason the name of the problem type
 * @param title a short title that is the same for every problem of this type
 * @param detail an explanation of this occurrence, may be empty
 * @param outcome the outcome of the submission, empty if the problem does not state it
 * @param submission the submission's ID, empty if it has none
 * @param retryAfterMillis the time after which to retry, in ms, 0 for no advice
 * @param highestTicketNumber the highest accepted ticket number, present if a ticket was refused because of its number
 */
public record Problem(
        int status,
        String reason,
        String title,
        String detail,
        Optional<Outcome> outcome,
        Optional<SubmissionId> submission,
        int retryAfterMillis,
        OptionalLong highestTicketNumber) {
    private static final int FIRST_SERVER_ERROR = 500;

    /** Checks that no component is null. */
    public Problem {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(title, "title");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(submission, "submission");
        Objects.requireNonNull(highestTicketNumber, "highestTicketNumber");
    }

    /**
     * Creates a problem that concerns only HTTP.
     *
     * @param fault the error
     * @param detail an explanation of this occurrence
     * @return the problem
     */
    public static Problem of(HttpFault fault, String detail) {
        return new Problem(
                fault.status(),
                fault.text(),
                fault.title(),
                detail,
                Optional.empty(),
                Optional.empty(),
                0,
                OptionalLong.empty());
    }

    /**
     * Creates a problem that does not state the outcome of a submission.
     *
     * @param reason why the request was refused
     * @param detail an explanation of this occurrence
     * @return the problem
     */
    public static Problem of(Reason reason, String detail) {
        return new Problem(
                reason.httpStatus(),
                reason.text(),
                title(reason),
                detail,
                Optional.empty(),
                Optional.empty(),
                0,
                OptionalLong.empty());
    }

    /**
     * Creates a problem that states the outcome of a submission.
     *
     * <p>Among the server errors, status 503 is used only for the outcome not-run, so that a client that looks only at
     * the status can treat it as a refusal without effect.
     *
     * @param outcome the outcome of the submission
     * @param reason the reason for the outcome
     * @param detail an explanation of this occurrence
     * @return the problem
     */
    public static Problem of(Outcome outcome, Reason reason, String detail) {
        boolean useReasonStatus = outcome == Outcome.NOT_RUN || reason.httpStatus() < FIRST_SERVER_ERROR;
        int status = useReasonStatus && reason != Reason.NONE ? reason.httpStatus() : outcome.httpStatus();
        return new Problem(
                status,
                reason.text(),
                title(reason),
                detail,
                Optional.of(outcome),
                Optional.empty(),
                0,
                OptionalLong.empty());
    }

    /**
     * Returns a copy with the outcome of the submission.
     *
     * <p>A server error status is replaced by the status of the outcome unless the outcome is not-run, since a client
     * could treat status 503 as a refusal without effect.
     *
     * @param newOutcome the outcome of the submission
     * @return the changed copy
     */
    public Problem withOutcome(Outcome newOutcome) {
        boolean misleading = newOutcome != Outcome.NOT_RUN && status >= FIRST_SERVER_ERROR;
        int newStatus = misleading ? newOutcome.httpStatus() : status;
        return new Problem(
                newStatus,
                reason,
                title,
                detail,
                Optional.of(newOutcome),
                submission,
                retryAfterMillis,
                highestTicketNumber);
    }

    /**
     * Returns a copy with an outcome and the same status.
     *
     * @param newOutcome the outcome of the request
     * @return the changed copy
     */
    public Problem withOutcomeKeepingStatus(Outcome newOutcome) {
        return new Problem(
                status,
                reason,
                title,
                detail,
                Optional.of(newOutcome),
                submission,
                retryAfterMillis,
                highestTicketNumber);
    }

    /**
     * Returns a copy with the ID of the submission.
     *
     * @param id the ID, empty if the submission has none
     * @return the changed copy
     */
    public Problem withSubmission(Optional<SubmissionId> id) {
        return new Problem(status, reason, title, detail, outcome, id, retryAfterMillis, highestTicketNumber);
    }

    /**
     * Returns a copy with a time after which to retry.
     *
     * @param millis the time after which to retry, in ms
     * @return the changed copy
     */
    public Problem retryAfter(int millis) {
        return new Problem(status, reason, title, detail, outcome, submission, millis, highestTicketNumber);
    }

    /**
     * Returns a copy with the highest accepted ticket number.
     *
     * @param number the ticket's number
     * @return the changed copy
     */
    public Problem withHighestTicketNumber(long number) {
        return new Problem(
                status, reason, title, detail, outcome, submission, retryAfterMillis, OptionalLong.of(number));
    }

    private static String title(Reason reason) {
        String words = reason.text().replace('-', ' ');
        return Character.toUpperCase(words.charAt(0)) + words.substring(1);
    }
}
