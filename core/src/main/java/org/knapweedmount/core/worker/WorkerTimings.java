package org.knapweedmount.core.worker;

import java.util.concurrent.TimeUnit;

/**
 * Timeouts, intervals and bounds that the agent of a worker and the entries have in common.
 *
 * <p>All leases run on the worker's clock, that of an entry from a timestamp that the entry echoed, so neither a delayed
 * message nor a suspended agent extends them.
 */
public final class WorkerTimings {
    /** How long an echoed timestamp extends an entry's runs, in ms; the platform limits a worker's lease to 1 s. */
    public static final int LEASE_MILLIS = 900;

    /** The longest lease that a worker accepts, in ms, counted from the arrival of a call; guaranteed by the platform. */
    static final int MAX_WORKER_LEASE_MILLIS = 1_000;

    /** The time after receipt of a timestamp by which every run ordered under it must have ended, in ms. */
    public static final int MAX_RUN_END_MILLIS = 1_100; // lease, 2% clock drift, 50 ms to stop, list and timer delays

    /**
     * How far the worker's lease may reach beyond that of an entry whose run it starts, in ms; all runs end with the
     * worker's lease, so (lease + excess) / {@link #MIN_CLOCK_RATE} + stop stays below {@link #MAX_RUN_END_MILLIS}.
     */
    static final int MAX_LEASE_EXCESS_MILLIS = 100;

    /**
     * How far the worker's lease reaches into the future, in ms; an order whose timestamp is older than lease + excess
     * - this time may be refused.
     */
    static final int MAX_GRANT_MILLIS = 750; // a report interval, a tick and a round trip are less than 250 ms

    /** The age of a reading of the worker's clock after which an idle worker is asked for another, in ms. */
    static final int MAX_CLOCK_AGE_MILLIS = 5_000; // the estimate lags by at most 2% of this

    /** The minimum rate of the worker's clock; the platform allows it to be 2% slow. */
    static final double MIN_CLOCK_RATE = 0.98;

    /** The maximum interval between two reports to an entry with runs here, in ms; several fit into a lease. */
    public static final int MAX_REPORT_INTERVAL_MILLIS = 150;

    /** How many entries are told of a large change at once; as many as the smallest sites have. */
    public static final int MAX_PROMPT_ENTRIES = 3;

    /**
     * The maximum interval between two reports to an entry that has no runs here and is not told of changes at once, in ms;
     * an order that is based on the last one is young enough, and no heartbeat is needed beside them.
     */
    static final int IDLE_REPORT_INTERVAL_MILLIS = 250;

    /**
     * The minimum interval between two reports of an agent, in ms; an order based on an outdated report is refused
     * within a round trip.
     */
    static final int MIN_REPORT_INTERVAL_MILLIS = 25;

    /** The maximum age of an order's timestamp on arrival, by the worker's clock in ms; the rest of the lease has to outlast the start. */
    static final int MAX_ORDER_AGE_MILLIS = 500;

    /**
     * The remaining time of an entry's lease, in ms, at which its runs are stopped to avoid delaying those of others.
     */
    static final int STOP_BEFORE_EXPIRY_MILLIS = 250;

    /** How long runs continue after the loss of the link to their entry, in ms; a reset link is back within 100 ms. */
    static final int RECONNECT_GRACE_MILLIS = 300;

    /** How long offered capacity is reserved for an entry, in ms; a few round trips between data centres. */
    static final int OFFER_TIMEOUT_MILLIS = 40;

    /**
     * How long the worker waits for the end of a run before it lists its runs, in ms; a lost list hides ends for that
     * long.
     */
    static final int LIST_WAIT_MILLIS = 100;

    /** The timeout of a call to the worker, in ms; a worker on the same VM answers within 1 ms. */
    public static final int CALL_TIMEOUT_MILLIS = 60; // a busy agent takes 10 ms or more; short jobs may wait 60 ms

    /** The timeout of a call while the process warms up, in ms; code that is not yet compiled took up to 120 ms. */
    private static final int WARM_UP_CALL_TIMEOUT_MILLIS = 200;

    /** How long a process warms up, in ms; by then the code for calls is compiled. */
    private static final int WARM_UP_MILLIS = 3_000;

    /** The interval between two stop orders for the same run, in ms. */
    static final int STOP_RETRY_INTERVAL_MILLIS = 100;

    /** The maximum time that a worker takes to end a run, in ms; guaranteed by the platform. */
    static final int MAX_STOP_MILLIS = 50;

    /** The time after the last order to a worker by which all its runs must have ended, also if its clock is slow, in ms. */
    static final int MAX_WORKER_RUN_END_MILLIS =
            (int) Math.ceil((MAX_WORKER_LEASE_MILLIS + MAX_STOP_MILLIS) / MIN_CLOCK_RATE);

    /** The number of consecutive lists without a confirmed run after which the run counts as lost. */
    static final int MAX_ABSENT_LISTS = 2;

    /**
     * The timeout of a list beyond its wait, in ms; a lost list is requested again, so an early timeout costs little.
     */
    public static final int LIST_TIMEOUT_MILLIS = 30;

    private WorkerTimings() {}

    /**
     * Returns the timeout of a call to the worker.
     *
     * @param ageNanos how long the agent's process has run, in ns
     * @return the timeout, in ms
     */
    public static int callTimeoutMillis(long ageNanos) {
        return isWarmingUp(ageNanos) ? WARM_UP_CALL_TIMEOUT_MILLIS : CALL_TIMEOUT_MILLIS;
    }

    /**
     * Returns the timeout of a list beyond its wait.
     *
     * @param ageNanos how long the agent's process has run, in ns
     * @return the timeout, in ms
     */
    public static int listTimeoutMillis(long ageNanos) {
        return isWarmingUp(ageNanos) ? WARM_UP_CALL_TIMEOUT_MILLIS : LIST_TIMEOUT_MILLIS;
    }

    /** Returns whether a process is warming up, so that its own code is slow. */
    static boolean isWarmingUp(long ageNanos) {
        return millis(ageNanos) < WARM_UP_MILLIS;
    }

    static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
