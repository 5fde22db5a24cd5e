package org.knapweedmount.daemon.http;

/** Counters of the HTTP server for callers. */
public enum HttpCounter {
    /** Requests received from callers. */
    REQUESTS,
    /** Requests refused before a decision, because they are malformed, too large or too slow to arrive. */
    BAD_REQUESTS,
    /** Requests refused because the queue of the decision thread is full or too many requests are pending. */
    REFUSED_BUSY,
    /** Answers to requests whose caller had disconnected. */
    ABANDONED,
    /** Connections closed because a connection limit was reached. */
    CONNECTIONS_REFUSED
}
