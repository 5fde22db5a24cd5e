package org.knapweedmount.daemon.http;

/** What the HTTP interface for callers counts. */
public enum HttpCounter {
    /** Requests of callers. */
    REQUESTS,
    /** Requests refused because they are malformed or too large. */
    BAD_REQUESTS,
    /** Requests refused because the ring of the decision thread is full or too many requests wait. */
    REFUSED_BUSY,
    /** Requests whose caller was gone when the answer came. */
    ABANDONED,
    /** Connections closed because there are too many. */
    CONNECTIONS_REFUSED
}
