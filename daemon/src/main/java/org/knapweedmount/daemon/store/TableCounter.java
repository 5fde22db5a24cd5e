package org.knapweedmount.daemon.store;

/** Counters of the table service client. */
public enum TableCounter {
    /** Reads of one or several rows. */
    READS,
    /** Transactions that were requested. */
    TRANSACTIONS,
    /** Transactions that failed because a condition did not hold. */
    CONFLICTS,
    /** Requests that were not sent, not answered or answered with a server error. */
    UNAVAILABLE,
    /** Transactions with an unknown result, because the answer was lost or reported a server error. */
    ANSWERS_LOST,
    /** Requests that failed fast because the circuit breaker was open. */
    FAILED_FAST
}
