package org.knapweedmount.core.worker;

import org.knapweedmount.api.work.RunOutcome;

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

    private final WorkerOutput output;
    private final CurrentWorker worker;
    private int consecutiveFailures;
    private int quarantineMillis = MIN_QUARANTINE_MILLIS;
    private boolean quarantined;
    private long retryNanos;

    WorkerHealth(WorkerOutput output, CurrentWorker worker) {
        this.output = output;
        this.worker = worker;
    }

    /** Begins with another worker, of which nothing is known. */
    void reset() {
        consecutiveFailures = 0;
        quarantined = false;
        quarantineMillis = MIN_QUARANTINE_MILLIS;
    }

    /** Records the end of a run. */
    void recordEnd(RunOutcome outcome, long nowNanos) {
        if (outcome == RunOutcome.DONE) {
            recordSuccess();
        } else if (outcome == RunOutcome.FAILED) {
            recordFailure(nowNanos);
        }
    }

    private void recordSuccess() {
        if (quarantined) {
            output.logEvent("worker-back", "worker=" + worker.incarnation());
        }
        reset();
    }

    private void recordFailure(long nowNanos) {
        consecutiveFailures++;
        if (quarantined || consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            quarantine("failures", nowNanos);
        }
    }

    /** Quarantines the worker at once. */
    void quarantine(String reason, long nowNanos) {
        if (!quarantined) {
            output.logEvent("worker-aside", "worker=" + worker.incarnation() + " reason=" + reason);
        }
        quarantined = true;
        retryNanos = nowNanos + WorkerTimings.nanos(quarantineMillis);
        quarantineMillis = Math.min(MAX_QUARANTINE_MILLIS, 2 * quarantineMillis);
    }

    /** Returns whether the worker accepts another run. */
    boolean admits(int runs, long nowNanos) {
        boolean probe = runs == 0 && nowNanos - retryNanos >= 0;
        return !quarantined || probe;
    }
}
