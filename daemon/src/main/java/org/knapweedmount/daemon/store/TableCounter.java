package org.knapweedmount.daemon.store;

/** What the client of the table service counts. */
public enum TableCounter {
    /** Reads of one or several rows. */
    READS,
    /** Transactions. */
    TRANSACTIONS,
    /** Transactions that failed for a condition. */
    CONFLICTS,
    /** Requests that the service did not take. */
    UNAVAILABLE,
    /** Transactions whose answers were lost. */
    ANSWERS_LOST,
    /** Requests that failed at once because the service was down. */
    FAILED_FAST
}
