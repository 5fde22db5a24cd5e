package org.knapweedmount.daemon.http;

import java.util.Locale;

/** Errors of a request that concern HTTP and not a submission. */
public enum HttpFault {
    /** The request is malformed or has an invalid parameter. */
    BAD_REQUEST(400, "Bad request"),
    /** The request lacks a valid token. */
    UNAUTHORIZED(401, "A valid token is required"),
    /** The path does not exist. */
    NOT_FOUND(404, "Not found"),
    /** The path does not support this method. */
    METHOD_NOT_ALLOWED(405, "Method not allowed"),
    /** The request body did not arrive in time. */
    REQUEST_TIMEOUT(408, "The request did not arrive in time"),
    /** The process cannot accept the request at present. */
    UNAVAILABLE(503, "Unavailable at present");

    private final int status;
    private final String title;

    HttpFault(int status, String title) {
        this.status = status;
        this.title = title;
    }

    /**
     * Returns the HTTP status.
     *
     * @return an HTTP status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns a short title that is the same for every occurrence.
     *
     * @return the title of the problem document
     */
    public String title() {
        return title;
    }

    /**
     * Returns the name used in problem documents.
     *
     * @return for instance {@code not-found}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
