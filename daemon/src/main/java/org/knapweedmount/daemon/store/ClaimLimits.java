package org.knapweedmount.daemon.store;

import java.util.concurrent.TimeUnit;

/**
 * Limits on the claims of keys that callers chose.
 *
 * @param maxClaims the maximum number of claims that are queued or in flight
 * @param batchSize the maximum number of claims in one transaction
 * @param maxInFlight the maximum number of concurrent transactions
 * @param sendIntervalMillis the minimum time between two transactions, in ms
 */
public record ClaimLimits(int maxClaims, int batchSize, int maxInFlight, int sendIntervalMillis) {
    /** Limits with which several entries can share a table service of several hundred writes per second. */
    public static final ClaimLimits DEFAULT = new ClaimLimits(10_000, 100, 2, 10);

    /**
     * Returns the minimum time between two transactions.
     *
     * @return the time, in ns
     */
    long sendIntervalNanos() {
        return TimeUnit.MILLISECONDS.toNanos(sendIntervalMillis);
    }
}
