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
    private final int failuresToOpen;
    private final long probeNanos;
    private int failures;
    private long nextProbeNanos;

    /**
     * Creates a breaker that lets requests through.
     *
     * @param failuresToOpen the number of failures in a row after which requests are refused
     * @param probeNanos the time between two probes, in ns
     */
    public CircuitBreaker(int failuresToOpen, long probeNanos) {
        this.failuresToOpen = failuresToOpen;
        this.probeNanos = probeNanos;
    }

    /**
     * Asks whether a request may be sent; while the breaker is open, a positive answer makes it the probe.
     *
     * @param nowNanos the present time
     * @return false if the request is to be refused at once
     */
    public boolean admit(long nowNanos) {
        if (!open()) {
            return true;
        }
        if (nowNanos - nextProbeNanos < 0) {
            return false;
        }
        nextProbeNanos = nowNanos + probeNanos;
        return true;
    }

    /**
     * Takes note that the service has answered.
     *
     * @return true if requests were refused until now
     */
    public boolean succeeded() {
        boolean wasOpen = open();
        failures = 0;
        return wasOpen;
    }

    /**
     * Takes note that the service has not answered as it should.
     *
     * @param nowNanos the present time
     * @return true if requests are refused from now on and were not before
     */
    public boolean failed(long nowNanos) {
        boolean wasOpen = open();
        failures = Math.min(failures + 1, failuresToOpen);
        if (wasOpen || !open()) {
            return false;
        }
        nextProbeNanos = nowNanos + probeNanos;
        return true;
    }

    /**
     * Tells whether requests are refused.
     *
     * @return true if only probes are let through
     */
    public boolean open() {
        return failures >= failuresToOpen;
    }
}
