package org.knapweedmount.core.worker;

/**
 * Sets a worker aside that fails what it starts or does not get on, and tries it again with one run at a time.
 *
 * <p>Load pattern: a sick worker ends runs early, so its room is always free and draws ever more runs; a few failures in a
 * row close it. Single failures among successes are ordinary and change nothing.
 */
final class WorkerHealth {
    /** Failures in a row that close the worker; at an ordinary failure rate of 0.2% this is one in 10^8 runs. */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    /** The shortest and the longest time before a worker that was set aside is tried again, in ms. */
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

    /** Takes note of a failed run; returns true if the worker is set aside by it. */
    boolean recordFailure(long nowNanos) {
        consecutiveFailures++;
        if (!quarantined && consecutiveFailures < MAX_CONSECUTIVE_FAILURES) {
            return false;
        }
        return quarantine(nowNanos);
    }

    /** Sets the worker aside at once; returns true if it was not before. */
    boolean quarantine(long nowNanos) {
        boolean wasQuarantined = quarantined;
        quarantined = true;
        retryNanos = nowNanos + WorkerTimings.nanos(quarantineMillis);
        quarantineMillis = Math.min(MAX_QUARANTINE_MILLIS, 2 * quarantineMillis);
        return !wasQuarantined;
    }

    /** Tells whether the worker takes another run. */
    boolean admits(int runs, long nowNanos) {
        boolean probe = runs == 0 && nowNanos - retryNanos >= 0;
        return !quarantined || probe;
    }

    boolean quarantined() {
        return quarantined;
    }
}
