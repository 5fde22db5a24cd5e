package org.knapweedmount.daemon.http;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;

/**
 * A refusal or failure, told to the sender as a problem document.
 *
 * @param status the HTTP status code
 * @param reason the word that tells problems of different types apart
 * @param title a short sentence that is the same for every problem of the type
 * @param detail a sentence on this occurrence, empty if there is nothing to add
 * @param outcome what became of the submission, empty if the problem says nothing about it
 * @param submission the submission's id, empty if it has none
 * @param retryAfterMillis how long the sender should wait before it tries again, in ms, 0 if it makes no difference
 * @param highestTicketNumber the highest accepted ticket number, present if a ticket was refused because of it
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

    /** Checks that nothing is missing. */
    public Problem {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(title, "title");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(submission, "submission");
        Objects.requireNonNull(highestTicketNumber, "highest");
    }

    /**
     * Creates a problem that concerns HTTP alone.
     *
     * @param fault the fault
     * @param detail a sentence on this occurrence
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
     * Creates a problem that says nothing about the outcome of a submission.
     *
     * @param reason why the request was refused
     * @param detail a sentence on this occurrence
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
     * Creates a problem that tells the outcome of a submission.
     *
     * <p>Of the server errors, status 503 comes with the outcome not-run alone, so that a sender that sees no more than
     * the status may take it for a refusal without effect.
     *
     * @param outcome what became of the submission
     * @param reason why
     * @param detail a sentence on this occurrence
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
     * Returns this problem with the outcome of the submission that it concerns.
     *
     * @param newOutcome what became of the submission
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
     * Returns this problem with an outcome, whatever its status says.
     *
     * @param newOutcome what became of the request
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
     * Returns this problem with the id of the submission that it concerns.
     *
     * @param id the id, empty if it has none
     * @return the changed copy
     */
    public Problem withSubmission(Optional<SubmissionId> id) {
        return new Problem(status, reason, title, detail, outcome, id, retryAfterMillis, highestTicketNumber);
    }

    /**
     * Returns this problem with a time to wait.
     *
     * @param millis how long the sender should wait before it tries again, in ms
     * @return the changed copy
     */
    public Problem retryAfter(int millis) {
        return new Problem(status, reason, title, detail, outcome, submission, millis, highestTicketNumber);
    }

    /**
     * Returns this problem with the highest accepted ticket number.
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
