package org.knapweedmount.core.worker;

/** The lease that the agent has granted its worker; all runs share it, and the worker never shortens it. */
final class WorkerLease {
    private long latestExpiryMillis;

    /** Forgets the grants to an earlier incarnation of the worker. */
    void reset() {
        latestExpiryMillis = 0;
    }

    /** Records a grant, by the worker's clock in ms; the worker may receive it late or never. */
    void granted(long expiryMillis) {
        latestExpiryMillis = Math.max(latestExpiryMillis, expiryMillis);
    }

    /** Returns whether runs may outlive a lease of their entry, by the worker's clock in ms, for longer than allowed. */
    boolean outlasts(long entryExpiryMillis) {
        return latestExpiryMillis - entryExpiryMillis > WorkerTimings.MAX_LEASE_EXCESS_MILLIS;
    }

    /** Returns whether all runs must have ended, at a time of the worker's clock in ms. */
    boolean hasLapsed(long workerMillis) {
        return workerMillis > latestExpiryMillis + WorkerTimings.MAX_STOP_MILLIS;
    }
}
