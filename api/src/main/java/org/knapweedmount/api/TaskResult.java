package org.knapweedmount.api;

import java.util.Objects;

/**
 * How one task ended.
 *
 * @param outcome the outcome of the task
 * @param reason why it has this outcome, {@link Reason#NONE} if complete
 * @param status the HTTP status that the endpoint answered with, 0 if it gave none
 * @param contentType the media type of the body, empty if there is no body
 * @param body the bytes that the endpoint answered with
 */
public record TaskResult(Outcome outcome, Reason reason, int status, String contentType, Payload body) {
    /** Checks that nothing is missing. */
    public TaskResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Creates the result of a task that the endpoint completed.
     *
     * @param status the HTTP status of the endpoint's answer
     * @param contentType the media type of the body
     * @param body the bytes of the answer
     * @return the result
     */
    public static TaskResult complete(int status, String contentType, Payload body) {
        return new TaskResult(Outcome.COMPLETE, Reason.NONE, status, contentType, body);
    }

    /**
     * Creates a result without a body.
     *
     * @param outcome the outcome
     * @param reason why it has this outcome
     * @return the result
     */
    public static TaskResult of(Outcome outcome, Reason reason) {
        return new TaskResult(outcome, reason, 0, "", Payload.EMPTY);
    }

    /**
     * Returns this result without its body and the body's media type.
     *
     * @return the changed copy
     */
    public TaskResult withoutBody() {
        return new TaskResult(outcome, reason, status, "", Payload.EMPTY);
    }
}
