package org.knapweedmount.core.dispatch;

import java.util.concurrent.TimeUnit;

import org.knapweedmount.core.worker.WorkerTimings;

/** The times that a dispatcher keeps to. */
final class DispatchTimes {
    /** The time between two renewals of a lease; several fit into a lease. */
    static final long RENEWAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** After what time without a report no run that was ordered from an agent is left. */
    static final long SURELY_ENDED_NANOS = TimeUnit.MILLISECONDS.toNanos(WorkerTimings.SURELY_ENDED_MILLIS);

    /** The shortest time between two demands to the same agent; longer than a round trip between data centres. */
    static final long DEMAND_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** The time between two batches of news about jobs; callers send a job again after 1.3 s. */
    static final long NEWS_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private DispatchTimes() {}
}
