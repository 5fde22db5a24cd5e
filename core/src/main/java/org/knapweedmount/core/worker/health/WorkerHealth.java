package org.knapweedmount.core.worker.health;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decides from the ends of runs, from stalls and from health checks whether a worker may be sent runs.
 *
 * <p>Load pattern: a faulty worker ends runs early, so it always has free capacity and attracts ever more runs; a few
 * consecutive failures close it. Single failures among successes are normal and change nothing. A closed worker is probed
 * with one run at a time after a quarantine, which doubles with each failed probe. A worker that goes down again and again
 * (period 0.8 to 1.4 s) is closed for longer each time, since the quarantine is only reset by a success at least 2 s after
 * the reopening.
 *
 * <p>What a worker says of itself is only asked before a probe, and runs take precedence over it: some workers say that
 * they are well and fail all runs, and others the opposite. Checks that runs have contradicted are no longer made.
 *
 * <p>Not thread-safe. Times are of a monotonic clock, in ns.
 */
public final class WorkerHealth {
    /**
     * Consecutive failures that close the worker; at the normal failure rate of 0.2% this is about one in 10^8 runs.
     */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;

    /** Consecutive failures that close the worker again soon after it was reopened; one in 250,000 runs. */
    private static final int MAX_FAILURES_AFTER_REOPENING = 2;

    /** The bounds of the time before a closed worker is probed, in ms; it doubles with each failure. */
    private static final int MIN_QUARANTINE_MILLIS = 500;

    private static final int MAX_QUARANTINE_MILLIS = 4_000;

    /** How long after its reopening a worker may be expected to go down again, in ms; the longest period is 1.4 s. */
    private static final int PROBATION_MILLIS = 2_000;

    /** How long a check is waited for, in ms; then the worker is probed without it. */
    private static final int CHECK_TIMEOUT_MILLIS = 200;

    /** Consecutive checks that keep the worker closed; then it is probed, as what it says may be wrong. */
    private static final int MAX_UNHEALTHY_CHECKS = 3;

    /** Checks that a probe has contradicted, after which no more checks are made. */
    private static final int MAX_MISLEADING_CHECKS = 2;

    private Optional<ClosingReason> closed = Optional.empty();
    private CheckState checkState = CheckState.NONE;
    private boolean checksUsable;
    private int consecutiveFailures;
    private int quarantineMillis = MIN_QUARANTINE_MILLIS;
    private int unhealthyChecks;
    private int misleadingChecks;
    private long closedNanos;
    private long retryNanos;
    private long checkSentNanos;
    private long reopenedNanos;
    private boolean onProbation;

    /** The check that precedes a probe. */
    private enum CheckState {
        /** None was made since the last evidence against the worker. */
        NONE,
        /** It is not answered yet. */
        SENT,
        /** The worker has said that it is healthy. */
        HEALTHY,
        /** It has yielded no evidence. */
        NO_EVIDENCE
    }

    /** How a piece of evidence has changed the verdict. */
    public enum Change {
        /** The verdict is the same. */
        NONE,
        /** The worker was open and is closed. */
        CLOSED,
        /** The worker was closed and stays closed for longer. */
        EXTENDED,
        /** The worker was closed and is open. */
        REOPENED
    }

    /**
     * Creates a verdict on a worker of which nothing is known, which is open.
     *
     * @param checkable true if the worker can be asked for its own view of its health
     */
    public WorkerHealth(boolean checkable) {
        this.checksUsable = checkable;
    }

    /**
     * Returns why the worker is closed.
     *
     * @return the reason, empty if the worker is open
     */
    public Optional<ClosingReason> closedReason() {
        return closed;
    }

    /**
     * Returns whether the worker may be sent another run.
     *
     * @param runs the number of runs on the worker; a closed one is probed only when it has none
     * @param nowNanos the current time, in ns
     * @return true if it may
     */
    public boolean admits(int runs, long nowNanos) {
        return closed.isEmpty() || (runs == 0 && probeDue(nowNanos) && !awaitsCheck(nowNanos));
    }

    /**
     * Returns whether a health check is to be made now. A worker that runs show to be open or closed is not checked.
     *
     * @param runs the number of runs on the worker
     * @param nowNanos the current time, in ns
     * @return true if it is
     */
    public boolean checkDue(int runs, long nowNanos) {
        return closed.isPresent()
                && checksUsable
                && runs == 0
                && probeDue(nowNanos)
                && checkState == CheckState.NONE
                && unhealthyChecks < MAX_UNHEALTHY_CHECKS;
    }

    private boolean probeDue(long nowNanos) {
        return nowNanos - retryNanos >= 0;
    }

    private boolean awaitsCheck(long nowNanos) {
        if (!checksUsable || unhealthyChecks >= MAX_UNHEALTHY_CHECKS) {
            return false;
        }
        boolean overdue = nowNanos - checkSentNanos >= TimeUnit.MILLISECONDS.toNanos(CHECK_TIMEOUT_MILLIS);
        return checkState == CheckState.NONE || (checkState == CheckState.SENT && !overdue);
    }

    /**
     * Records that a check was sent.
     *
     * @param nowNanos the current time, in ns
     */
    public void checkSent(long nowNanos) {
        checkState = CheckState.SENT;
        checkSentNanos = nowNanos;
    }

    /**
     * Records the result of a check; one that nobody waits for any more changes nothing.
     *
     * @param result what the worker says
     * @param nowNanos the current time, in ns
     * @return how the verdict has changed
     */
    public Change checked(HealthCheck result, long nowNanos) {
        if (result == HealthCheck.UNSUPPORTED) {
            checksUsable = false;
        }
        if (closed.isEmpty() || checkState != CheckState.SENT) {
            return Change.NONE;
        }
        if (result == HealthCheck.UNHEALTHY) {
            unhealthyChecks++;
            extend(nowNanos);
            return Change.EXTENDED;
        }
        unhealthyChecks = result == HealthCheck.HEALTHY ? 0 : unhealthyChecks;
        checkState = result == HealthCheck.HEALTHY ? CheckState.HEALTHY : CheckState.NO_EVIDENCE;
        return Change.NONE;
    }

    /**
     * Records that a run has ended well.
     *
     * @param orderedNanos when the run was ordered, in ns
     * @param nowNanos the current time, in ns
     * @return how the verdict has changed
     */
    public Change runSucceeded(long orderedNanos, long nowNanos) {
        consecutiveFailures = 0;
        if (closed.isPresent()) {
            boolean earlier = orderedNanos - closedNanos <= 0;
            if (earlier && !closed.get().refutedByEarlierRuns()) {
                return Change.NONE;
            }
            if (unhealthyChecks >= MAX_UNHEALTHY_CHECKS) {
                checkMisled();
            }
            unhealthyChecks = 0;
            closed = Optional.empty();
            reopenedNanos = nowNanos;
            onProbation = true;
            return Change.REOPENED;
        }
        if (onProbation && !isOnProbation(nowNanos)) {
            onProbation = false;
            quarantineMillis = MIN_QUARANTINE_MILLIS;
        }
        return Change.NONE;
    }

    private boolean isOnProbation(long nowNanos) {
        return onProbation && nowNanos - reopenedNanos < TimeUnit.MILLISECONDS.toNanos(PROBATION_MILLIS);
    }

    /**
     * Records that a run has failed. The failure of a run that was ordered before the worker was closed does not close it
     * for longer, because many runs fail at the same time.
     *
     * @param orderedNanos when the run was ordered, in ns
     * @param nowNanos the current time, in ns
     * @return how the verdict has changed
     */
    public Change runFailed(long orderedNanos, long nowNanos) {
        consecutiveFailures++;
        if (closed.isPresent()) {
            return orderedNanos - closedNanos <= 0 ? Change.NONE : close(ClosingReason.FAILURES, nowNanos);
        }
        int allowed = isOnProbation(nowNanos) ? MAX_FAILURES_AFTER_REOPENING : MAX_CONSECUTIVE_FAILURES;
        return consecutiveFailures < allowed ? Change.NONE : close(ClosingReason.FAILURES, nowNanos);
    }

    /**
     * Records that a run makes no progress, which closes the worker at once.
     *
     * @param orderedNanos when the run was ordered, in ns
     * @param nowNanos the current time, in ns
     * @return how the verdict has changed
     */
    public Change runStalled(long orderedNanos, long nowNanos) {
        boolean known = closed.isPresent() && orderedNanos - closedNanos <= 0;
        return known ? Change.NONE : close(ClosingReason.STALL, nowNanos);
    }

    /**
     * Records that the worker has refused a start because it is unhealthy, which closes it at once.
     *
     * @param orderedNanos when the run was ordered, in ns
     * @param nowNanos the current time, in ns
     * @return how the verdict has changed
     */
    public Change startRefused(long orderedNanos, long nowNanos) {
        boolean known = closed.isPresent() && orderedNanos - closedNanos <= 0;
        return known ? Change.NONE : close(ClosingReason.REFUSAL, nowNanos);
    }

    private Change close(ClosingReason reason, long nowNanos) {
        boolean wasOpen = closed.isEmpty();
        if (!wasOpen && checkState == CheckState.HEALTHY) {
            checkMisled();
        }
        closed = Optional.of(reason);
        closedNanos = nowNanos;
        unhealthyChecks = 0;
        extend(nowNanos);
        return wasOpen ? Change.CLOSED : Change.EXTENDED;
    }

    private void checkMisled() {
        misleadingChecks++;
        checksUsable = checksUsable && misleadingChecks < MAX_MISLEADING_CHECKS;
    }

    private void extend(long nowNanos) {
        checkState = CheckState.NONE;
        retryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(quarantineMillis);
        quarantineMillis = Math.min(MAX_QUARANTINE_MILLIS, 2 * quarantineMillis);
    }

    /**
     * Returns when a closed worker may be probed or checked again.
     *
     * @param nowNanos the current time, in ns
     * @return the time left, in ms; 0 if the worker is open or due
     */
    public long quarantineLeftMillis(long nowNanos) {
        return closed.isEmpty() ? 0 : Math.max(0, TimeUnit.NANOSECONDS.toMillis(retryNanos - nowNanos));
    }
}
