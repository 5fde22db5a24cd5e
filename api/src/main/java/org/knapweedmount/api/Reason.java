package org.knapweedmount.api;

import java.util.Locale;

/** Why a submission or a task was refused, failed, or has an unknown outcome. */
public enum Reason {
    /** There was no failure. */
    NONE(200),
    /** The request is not well-formed. */
    MALFORMED(400),
    /** The service does not exist. */
    UNKNOWN_SERVICE(404),
    /** The kind of task does not exist, or belongs to another service. */
    UNKNOWN_KIND(404),
    /** The team does not exist. */
    UNKNOWN_TEAM(403),
    /** The submission ID was never issued, or is too old to be accepted. */
    UNKNOWN_SUBMISSION(404),
    /** The submission ID has already been used with another body. */
    CONFLICT(409),
    /** The body or the number of tasks exceeds the limit. */
    TOO_LARGE(413),
    /** A task needs more resources than any worker provides. */
    FITS_NO_WORKER(422),
    /** The wait would be longer than the kind allows, or a queue is full. */
    OVERLOADED(503),
    /** The team has used up its quota. */
    OVER_QUOTA(429),
    /** No endpoint of the service is known. */
    NO_ENDPOINT(503),
    /** The process is stopping and accepts no new work. */
    DRAINING(503),
    /** The lease under which the task was sent is no longer valid. */
    LEASE_LAPSED(503),
    /** The submission was sealed: a peer determined its outcome because its entry could not be reached. */
    SEALED(503),
    /** The caller cancelled the submission. */
    CANCELLED(409),
    /** The platform's table service could not be reached. */
    STORE_UNAVAILABLE(503),
    /** The endpoint refused the connection before anything was sent. */
    ENDPOINT_UNREACHABLE(503),
    /** The endpoint responded that the task failed. */
    TASK_FAILED(502),
    /** The connection to the endpoint, agent or entry broke after the task was sent. */
    CONNECTION_LOST(504),
    /** No response was received within the time that the request allows. */
    TIMEOUT(504),
    /** The record of the submission was evicted to limit memory use. */
    FORGOTTEN(504);

    private final int httpStatus;

    Reason(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the HTTP status of a refusal for this reason.
     *
     * @return an HTTP status code
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the name used in responses to callers and in metrics.
     *
     * @return for instance {@code over-quota}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
