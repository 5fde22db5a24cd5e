package org.knapweedmount.core.worker;

/**
 * Quarantines a worker on which runs fail or stall, and probes it with one run at a time.
 *
 * <p>Load pattern: a faulty worker ends runs early, so it always has free capacity and attracts ever more runs; a few
 * consecutive failures close it. Single failures among successes are normal and change nothing.
 */
final class WorkerHealth {
    /**
     * Consecutive failures that close the worker; at the normal failure rate of 0.2% this is about one in 10^8 runs.
     */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    /** The bounds of the time before a quarantined worker is probed, in ms; it doubles with each failure. */
    private static final int MIN_QUARANTINE_MILLIS = 500;

    private static final int MAX_QUARANTINE_MILLIS = 4_000;

    private int consecutiveFailures;
    private int quarantineMillis = MIN_QUARANTINE_MILLIS;
    private boolean quarantined;
    private long retryNanos;

    void recordSuccess() {
        consecutiveFailures = 0;
        quarantined = false;
        quarantineMillis = MIN_QUARANTINE_MILLIS;
    }

    /** Records a failed run; returns true if the worker becomes quarantined. */
    boolean recordFailure(long nowNanos) {
        consecutiveFailures++;
        if (!quarantined && consecutiveFailures < MAX_CONSECUTIVE_FAILURES) {
            return false;
        }
        return quarantine(nowNanos);
    }

    /** Quarantines the worker at once; returns true if it was not quarantined before. */
    boolean quarantine(long nowNanos) {
        boolean wasQuarantined = quarantined;
        quarantined = true;
        retryNanos = nowNanos + WorkerTimings.nanos(quarantineMillis);
        quarantineMillis = Math.min(MAX_QUARANTINE_MILLIS, 2 * quarantineMillis);
        return !wasQuarantined;
    }

    /** Returns whether the worker accepts another run. */
    boolean admits(int runs, long nowNanos) {
        boolean probe = runs == 0 && nowNanos - retryNanos >= 0;
        return !quarantined || probe;
    }

    boolean quarantined() {
        return quarantined;
    }
}
