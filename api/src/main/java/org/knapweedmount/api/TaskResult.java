package org.knapweedmount.api;

import java.util.Objects;

/**
 * The result of a task.
 *
 * @param outcome the outcome of the task
 * @param reason why it has this outcome, {@link Reason#NONE} if complete
 * @param status the HTTP status of the endpoint's response, 0 if there was no response
 * @param contentType the media type of the body, empty if there is no body
 * @param body the body of the endpoint's response
 */
public record TaskResult(Outcome outcome, Reason reason, int status, String contentType, Payload body) {
    /** Checks that no component is null. */
    public TaskResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /**
     * Creates the result of a task that the endpoint completed.
     *
     * @param status the HTTP status of the endpoint's response
     * @param contentType the media type of the body
     * @param body the body of the response
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
     * Returns a copy of this result without the body and its media type.
     *
     * @return the modified copy
     */
    public TaskResult withoutBody() {
        return new TaskResult(outcome, reason, status, "", Payload.EMPTY);
    }
}
