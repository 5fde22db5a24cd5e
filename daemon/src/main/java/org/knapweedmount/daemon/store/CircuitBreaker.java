package org.knapweedmount.daemon.store;

/**
 * Decides whether a request to a service is worth sending.
 *
 * <p>After several failures in a row requests are refused at once, so that callers do not wait for a service that is
 * down. From time to time one request is let through as a probe; its success lets all requests through again.
 *
 * <p>Used by one thread.
 */
public final class CircuitBreaker {
    private final int failureThreshold;
    private final long probeIntervalNanos;
    private int consecutiveFailures;
    private long nextProbeNanos;

    /**
     * Creates a breaker that lets requests through.
     *
     * @param failureThreshold the number of failures in a row after which requests are refused
     * @param probeIntervalNanos the time between two probes, in ns
     */
    public CircuitBreaker(int failureThreshold, long probeIntervalNanos) {
        this.failureThreshold = failureThreshold;
        this.probeIntervalNanos = probeIntervalNanos;
    }

    /**
     * Asks whether a request may be sent; while the breaker is open, a positive answer makes it the probe.
     *
     * @param nowNanos the present time
     * @return false if the request is to be refused at once
     */
    public boolean allowRequest(long nowNanos) {
        if (!isOpen()) {
            return true;
        }
        if (nowNanos - nextProbeNanos < 0) {
            return false;
        }
        nextProbeNanos = nowNanos + probeIntervalNanos;
        return true;
    }

    /**
     * Takes note that the service has answered.
     *
     * @return true if requests were refused until now
     */
    public boolean recordSuccess() {
        boolean wasOpen = isOpen();
        consecutiveFailures = 0;
        return wasOpen;
    }

    /**
     * Takes note that the service has not answered as it should.
     *
     * @param nowNanos the present time
     * @return true if requests are refused from now on and were not before
     */
    public boolean recordFailure(long nowNanos) {
        boolean wasOpen = isOpen();
        consecutiveFailures = Math.min(consecutiveFailures + 1, failureThreshold);
        if (wasOpen || !isOpen()) {
            return false;
        }
        nextProbeNanos = nowNanos + probeIntervalNanos;
        return true;
    }

    /**
     * Tells whether requests are refused.
     *
     * @return true if only probes are let through
     */
    public boolean isOpen() {
        return consecutiveFailures >= failureThreshold;
    }
}
