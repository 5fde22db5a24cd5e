package org.knapweedmount.daemon.store;

import java.util.concurrent.TimeUnit;

/**
 * What bounds the client of the table service.
 *
 * @param readTimeoutMillis the time limit of a read, in ms
 * @param transactTimeoutMillis the time limit of a transaction, in ms
 * @param maxConnections the number of requests at a time
 * @param maxQueuedRequests the number of requests that wait for a connection
 * @param failureThreshold the number of failures in a row after which requests fail at once
 * @param probeIntervalMillis the time between two probes while requests fail at once, in ms
 */
public record TableLimits(
        int readTimeoutMillis,
        int transactTimeoutMillis,
        int maxConnections,
        int maxQueuedRequests,
        int failureThreshold,
        int probeIntervalMillis) {
    /** Limits that suit a service that answers within several milliseconds. */
    public static final TableLimits DEFAULT = new TableLimits(1_000, 2_000, 16, 256, 5, 500);

    /**
     * Creates the breaker with these limits.
     *
     * @return the breaker
     */
    CircuitBreaker newCircuitBreaker() {
        return new CircuitBreaker(failureThreshold, TimeUnit.MILLISECONDS.toNanos(probeIntervalMillis));
    }
}
