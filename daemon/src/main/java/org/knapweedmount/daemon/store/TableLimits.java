package org.knapweedmount.daemon.store;

import java.util.concurrent.TimeUnit;

/**
 * Limits of the table service client.
 *
 * @param readTimeoutMillis the timeout of a read, in ms
 * @param transactTimeoutMillis the timeout of a transaction, in ms
 * @param maxConnections the maximum number of concurrent requests
 * @param maxQueuedRequests the maximum number of requests that wait for a connection
 * @param failureThreshold the number of consecutive failures after which requests fail fast
 * @param probeIntervalMillis the minimum time between two probes while requests fail fast, in ms
 */
public record TableLimits(
        int readTimeoutMillis,
        int transactTimeoutMillis,
        int maxConnections,
        int maxQueuedRequests,
        int failureThreshold,
        int probeIntervalMillis) {
    /** Limits for a service that usually answers within several milliseconds. */
    public static final TableLimits DEFAULT = new TableLimits(1_000, 2_000, 16, 256, 5, 500);

    /**
     * Creates a circuit breaker with these limits.
     *
     * @return the breaker
     */
    CircuitBreaker newCircuitBreaker() {
        return new CircuitBreaker(failureThreshold, TimeUnit.MILLISECONDS.toNanos(probeIntervalMillis));
    }
}
