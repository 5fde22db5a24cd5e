package org.knapweedmount.core.worker;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * The leases under which runs execute, all by the clock of the worker, which ends the runs.
 *
 * <p>A timestamp is a lower bound of the worker's clock. Entries return timestamps, and the lease of an entry is counted
 * from the newest one. An offset keeps the timestamps of an incarnation above all leases of earlier ones, so that none
 * is valid beyond its incarnation. All runs share the lease granted to the worker, which never shortens.
 */
final class WorkerLease {
    private final WorkerClock clock = new WorkerClock();
    private long offsetMillis;
    private long firstTimestampMillis;
    private long lastTimestampMillis;
    private long latestExpiryMillis;

    /** Begins a new incarnation of the worker, which ends all leases of the earlier one. */
    void begin(long clockMillis, long nowNanos) {
        clock.reset();
        clock.observe(clockMillis, nowNanos);
        firstTimestampMillis = Math.max(clockMillis, lastTimestampMillis + WorkerTimings.LEASE_MILLIS + 1);
        offsetMillis = firstTimestampMillis - clockMillis;
        latestExpiryMillis = 0;
    }

    /** Records a reading of the clock of the current incarnation, in ms. */
    void observeClock(long clockMillis, long nowNanos) {
        clock.observe(clockMillis, nowNanos);
    }

    /** Returns a time that the worker's clock has reached, in ms. */
    long workerMillis(long nowNanos) {
        return clock.millis(nowNanos);
    }

    /** Returns whether the estimate of the worker's clock lags so much that a new reading is needed. */
    boolean needsReading(long nowNanos) {
        return clock.known() && clock.ageNanos(nowNanos) > WorkerTimings.nanos(WorkerTimings.MAX_CLOCK_AGE_MILLIS);
    }

    /** Returns the current timestamp, in ms. */
    long timestampMillis(long nowNanos) {
        return clock.known() ? clock.millis(nowNanos) + offsetMillis : lastTimestampMillis;
    }

    /** Returns the current timestamp in ns, to be sent to an entry. */
    long issueTimestampNanos(long nowNanos) {
        lastTimestampMillis = timestampMillis(nowNanos);
        return WorkerTimings.nanos(lastTimestampMillis);
    }

    /**
     * Returns when the lease that begins at a timestamp expires, as a timestamp in ms; empty if the timestamp was not
     * issued during this incarnation.
     */
    OptionalLong entryExpiryMillis(long timestampNanos, long nowNanos) {
        long millis = WorkerTimings.millis(timestampNanos);
        boolean valid = clock.known() && millis >= firstTimestampMillis && millis <= timestampMillis(nowNanos);
        return valid ? OptionalLong.of(millis + WorkerTimings.LEASE_MILLIS) : OptionalLong.empty();
    }

    /**
     * Returns why an order starts no runs because of its timestamp, empty if it may start them.
     *
     * @param timestampNanos the order's timestamp
     * @param entryExpiryMillis when the lease of the ordering entry expires, as a timestamp in ms
     */
    Optional<String> refusalReason(long timestampNanos, long entryExpiryMillis, long nowNanos) {
        OptionalLong orderExpiryMillis = entryExpiryMillis(timestampNanos, nowNanos);
        long minExpiryMillis =
                timestampMillis(nowNanos) + WorkerTimings.LEASE_MILLIS - WorkerTimings.MAX_ORDER_AGE_MILLIS;
        if (orderExpiryMillis.isEmpty() || orderExpiryMillis.getAsLong() < minExpiryMillis) {
            return Optional.of("old-order");
        }
        return outlasts(entryExpiryMillis) ? Optional.of("lease-ahead") : Optional.empty();
    }

    /**
     * Extends the worker's lease as far as a lease of an entry, given as a timestamp in ms, allows.
     *
     * @return the expiry by the worker's clock, in ms; the worker may receive it late or never
     */
    long grant(long entryExpiryMillis, long nowNanos) {
        long now = clock.millis(nowNanos);
        long allowed = Math.min(entryExpiryMillis - offsetMillis, now + WorkerTimings.MAX_GRANT_MILLIS);
        long expiry = Math.max(now, allowed);
        latestExpiryMillis = Math.max(latestExpiryMillis, expiry);
        return expiry;
    }

    /** Returns the latest expiry granted to the worker and the estimate of its clock, for the log. */
    RunEvents.Lease describe(WorkerIncarnation worker, long nowNanos) {
        return new RunEvents.Lease(worker, latestExpiryMillis, clock.millis(nowNanos));
    }

    /** Assumes that other processes, or orders to an earlier incarnation, have extended the lease as far as they can. */
    void assumeLongest(long clockMillis) {
        latestExpiryMillis = Math.max(latestExpiryMillis, clockMillis + WorkerTimings.MAX_WORKER_LEASE_MILLIS);
    }

    /** Returns whether runs may outlive a lease of their entry, given as a timestamp in ms, for longer than allowed. */
    private boolean outlasts(long entryExpiryMillis) {
        return latestExpiryMillis + offsetMillis - entryExpiryMillis > WorkerTimings.MAX_LEASE_EXCESS_MILLIS;
    }

    /** Returns whether the worker's clock shows that all runs must have ended. */
    boolean hasLapsed(long nowNanos) {
        return clock.known() && clock.millis(nowNanos) > latestExpiryMillis + WorkerTimings.MAX_STOP_MILLIS;
    }

    /** Returns when the worker's clock must show that all runs have ended, by the clock of the agent, in ns. */
    long lapseNanos() {
        return clock.reachedNanos(latestExpiryMillis + WorkerTimings.MAX_STOP_MILLIS + 1);
    }
}
