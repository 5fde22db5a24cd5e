package org.knapweedmount.daemon.store;

import java.util.concurrent.TimeUnit;

/**
 * What bounds the claims of callers' own keys.
 *
 * @param maxClaims the number of claims that wait or are under way
 * @param batchSize the number of claims of one transaction
 * @param maxInFlight the number of transactions at a time
 * @param sendIntervalMillis the least time between two transactions, in ms
 */
public record ClaimLimits(int maxClaims, int batchSize, int maxInFlight, int sendIntervalMillis) {
    /** Limits that leave several entries room at a table service of several hundred writes a second. */
    public static final ClaimLimits DEFAULT = new ClaimLimits(10_000, 100, 2, 10);

    /**
     * Returns the least time between two transactions.
     *
     * @return the time in ns
     */
    long sendIntervalNanos() {
        return TimeUnit.MILLISECONDS.toNanos(sendIntervalMillis);
    }
}
