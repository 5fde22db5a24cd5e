package org.knapweedmount.core.dispatch;

import java.util.concurrent.TimeUnit;

import org.knapweedmount.core.worker.WorkerTimings;

/** The times that a dispatcher keeps to. */
final class DispatchTimings {
    /** The time between two renewals of a lease; several fit into a lease. */
    static final long LEASE_RENEWAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** After what time without a report no run that was ordered from an agent is left. */
    static final long MAX_RUN_END_NANOS = TimeUnit.MILLISECONDS.toNanos(WorkerTimings.MAX_RUN_END_MILLIS);

    /** The shortest time between two demands to the same agent; longer than a round trip between data centres. */
    static final long MIN_DEMAND_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The time between two batches of news about jobs; callers send a job again after 1.3 s. */
    static final long MIN_UPDATE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private DispatchTimings() {}
}
