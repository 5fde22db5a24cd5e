package org.knapweedmount.daemon.store;

/** Counters of the table service client. */
public enum TableCounter {
    /** Reads of one or several rows. */
    READS,
    /** Transactions that were requested. */
    TRANSACTIONS,
    /** Transactions that failed because a condition did not hold. */
    CONFLICTS,
    /**
     * Requests that could not be sent, were not answered or were answered with a server error; not those that failed
     * fast.
     */
    UNAVAILABLE,
    /** Transactions with an unknown result, because the answer was lost or was a server error other than 503. */
    ANSWERS_LOST,
    /** Requests that failed fast because the circuit breaker was open. */
    FAILED_FAST
}
