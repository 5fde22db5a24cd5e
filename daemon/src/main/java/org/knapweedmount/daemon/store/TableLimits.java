package org.knapweedmount.daemon.store;

import java.util.concurrent.TimeUnit;

/**
 * What bounds the client of the table service.
 *
 * @param readMillis the time limit of a read, in ms
 * @param transactMillis the time limit of a transaction, in ms
 * @param connections the number of requests at a time
 * @param queued the number of requests that wait for a connection
 * @param failuresToOpen the number of failures in a row after which requests fail at once
 * @param probeMillis the time between two probes while requests fail at once, in ms
 */
public record TableLimits(
        int readMillis, int transactMillis, int connections, int queued, int failuresToOpen, int probeMillis) {
    /** Limits that suit a service that answers within several milliseconds. */
    public static final TableLimits DEFAULT = new TableLimits(1_000, 2_000, 16, 256, 5, 500);

    /**
     * Creates the breaker with these limits.
     *
     * @return the breaker
     */
    CircuitBreaker breaker() {
        return new CircuitBreaker(failuresToOpen, TimeUnit.MILLISECONDS.toNanos(probeMillis));
    }
}
