package org.knapweedmount.daemon.http;

/** Counters of the HTTP servers for callers and for endpoints. */
public enum HttpCounter {
    /** Requests received. */
    REQUESTS,
    /**
     * Requests refused because their target, a header or the body is invalid, the body is too large or arrives too
     * slowly, or the memory limit for request bodies is reached.
     */
    BAD_REQUESTS,
    /** Requests refused because the queue of the decision thread is full or too many requests are pending. */
    REFUSED_BUSY,
    /** Answers to requests whose caller had disconnected. */
    ABANDONED,
    /** Connections closed because a connection limit was reached. */
    CONNECTIONS_REFUSED
}
