package org.knapweedmount.daemon.http.limits;

/** Why a connection of a caller is closed; the request that it was sending has not run and never will. */
public enum Refusal {
    /** The head is larger than allowed. */
    HEADER_TOO_LARGE(431, "Request Header Fields Too Large", true),
    /** The body is larger than allowed. */
    BODY_TOO_LARGE(413, "Content Too Large", true),
    /** The head did not end in time. */
    HEAD_TIMEOUT(408, "Request Timeout", true),
    /** The body made no progress. */
    BODY_TIMEOUT(408, "Request Timeout", true),
    /** Too many empty lines before a request. */
    SKIPPED_BYTES(400, "Bad Request", true),
    /** The connection holds more than its share. */
    CONNECTION_SHARE(429, "Too Many Requests", false),
    /** The connections of the address hold more than its share, and this one holds most for longest. */
    ADDRESS_SHARE(429, "Too Many Requests", false),
    /** All connections hold more than the process allows, and this one holds most for longest. */
    MEMORY(503, "Service Unavailable", false),
    /** The address has too many connections. */
    ADDRESS_CONNECTIONS(429, "Too Many Requests", false),
    /** There are too many connections. */
    CONNECTIONS(503, "Service Unavailable", false),
    /** The caller has not read its answer for too long; closed without a response. */
    ANSWER_UNREAD(0, "", false),
    /** No request came for too long; closed without a response. */
    IDLE(0, "", false);

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final int status;
    private final String phrase;
    private final boolean lingering;

    Refusal(int status, String phrase, boolean lingering) {
        this.status = status;
        this.phrase = phrase;
        this.lingering = lingering;
    }

    /** Returns whether the connection stays open for a moment, as a caller that still sends may miss the response. */
    boolean isLingering() {
        return lingering;
    }

    /** Returns whether the connection is closed because of what all callers hold, not because of its own request. */
    boolean isPressure() {
        return this == MEMORY || this == ADDRESS_SHARE || this == CONNECTIONS || this == ADDRESS_CONNECTIONS;
    }

    /** Returns the HTTP status, 0 if the connection is closed without a response. */
    int status() {
        return status;
    }

    /** Returns the whole response, empty if the connection is closed without one. */
    String response() {
        if (status == 0) {
            return "";
        }
        boolean later = status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
        return "HTTP/1.1 " + status + " " + phrase + "\r\nConnection: close\r\nContent-Length: 0\r\n"
                + (later ? "Retry-After: 1\r\n" : "") + "\r\n";
    }
}
