package org.knapweedmount.daemon.store;

/**
 * Decides whether a request to a service may be sent.
 *
 * <p>After several consecutive failures the breaker opens and requests fail fast, so that callers do not wait for a
 * service that is down. One request is let through periodically as a probe; its success closes the breaker again.
 *
 * <p>Not thread-safe.
 */
public final class CircuitBreaker {
    private final int failureThreshold;
    private final long probeIntervalNanos;
    private int consecutiveFailures;
    private long nextProbeNanos;

    /**
     * Creates a closed breaker.
     *
     * @param failureThreshold the number of consecutive failures after which the breaker opens
     * @param probeIntervalNanos the minimum time between two probes, in ns
     */
    public CircuitBreaker(int failureThreshold, long probeIntervalNanos) {
        this.failureThreshold = failureThreshold;
        this.probeIntervalNanos = probeIntervalNanos;
    }

    /**
     * Returns whether a request may be sent; while the breaker is open, an allowed request is the probe.
     *
     * @param nowNanos the current time, in ns
     * @return false if the request must fail fast
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
     * Records a successful request.
     *
     * @return true if this closed the breaker
     */
    public boolean recordSuccess() {
        boolean wasOpen = isOpen();
        consecutiveFailures = 0;
        return wasOpen;
    }

    /**
     * Records a failed request.
     *
     * @param nowNanos the current time, in ns
     * @return true if this opened the breaker
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
     * Returns whether the breaker is open.
     *
     * @return true if only probes are allowed
     */
    public boolean isOpen() {
        return consecutiveFailures >= failureThreshold;
    }
}
