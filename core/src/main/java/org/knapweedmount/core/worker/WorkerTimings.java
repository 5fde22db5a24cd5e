package org.knapweedmount.core.worker;

import java.util.concurrent.TimeUnit;

/**
 * The times that the agent of a worker and the entries keep to with each other.
 *
 * <p>The entry's lease is counted on the agent's clock from a stamp of the agent that the entry sent back, and the worker's
 * on the worker's clock, so that a message under way for long can never lengthen either.
 */
public final class WorkerTimings {
    /** How long a stamp that comes back extends the runs of an entry, in ms; the platform bounds a worker's lease by 1 s. */
    public static final int LEASE_MILLIS = 900;

    /** After what time an entry may take it that no run is left that was ordered under a stamp, in ms after its receipt. */
    public static final int SURELY_ENDED_MILLIS = 1_100; // lease, 2% clock drift, 50 ms to stop, list and timer delays

    /** The longest time between two reports of an agent, in ms; several fit into a lease. */
    public static final int REPORT_MILLIS = 150;

    /** The shortest time between two reports of an agent, in ms; what an entry orders on an older report is refused within a round trip. */
    static final int REPORT_GAP_MILLIS = 25;

    /** How old the stamp of an order may be when it arrives, in ms; the rest of the lease has to outlast the start. */
    static final int ORDER_MILLIS = 500;

    /** The rest of an entry's lease at which its runs are stopped, so that they do not hold up those of others, in ms. */
    static final int STOP_AHEAD_MILLIS = 250;

    /** How long runs are kept after the link to their entry has ended, in ms; a reset link is back within 100 ms. */
    static final int RELINK_MILLIS = 300;

    /** How long room is kept for an entry that it was offered to, in ms; some round trips between data centres. */
    static final int OFFER_MILLIS = 40;

    /** How long the worker waits for an end before it lists its runs, in ms; a lost list hides ends for that long. */
    static final int LIST_WAIT_MILLIS = 100;

    /** After what time a call to the worker counts as not answered, in ms; a worker on the same VM answers within 1 ms. */
    public static final int CALL_TIMEOUT_MILLIS = 60; // a busy agent takes some ten ms, and a lookup may wait 60 ms

    /** The same for a process that has just started, in ms; code that is not compiled yet took up to 120 ms. */
    private static final int COLD_CALL_MILLIS = 200;

    /** How long a process counts as just started, in ms; by then what calls need is compiled. */
    private static final int COLD_MILLIS = 3_000;

    /** The time between two orders to stop the same run, in ms. */
    static final int STOP_RETRY_MILLIS = 100;

    /** How long a worker takes to end a run, in ms; the bound of the platform. */
    static final int STOP_MILLIS = 50;

    /** How often a list may lack a run whose start was confirmed before it counts as lost. */
    static final int MAX_ABSENCES = 2;

    /** After what time beyond its wait a list counts as lost, in ms; it is asked for again, so that too soon costs little. */
    public static final int LIST_TIMEOUT_MILLIS = 30;

    private WorkerTimings() {}

    /**
     * Returns after what time a call to the worker counts as not answered.
     *
     * @param ageNanos how long the agent's process has run, in ns
     * @return the time, in ms
     */
    public static int callTimeoutMillis(long ageNanos) {
        return isCold(ageNanos) ? COLD_CALL_MILLIS : CALL_TIMEOUT_MILLIS;
    }

    /**
     * Returns after what time beyond its wait a list counts as lost.
     *
     * @param ageNanos how long the agent's process has run, in ns
     * @return the time, in ms
     */
    public static int listTimeoutMillis(long ageNanos) {
        return isCold(ageNanos) ? COLD_CALL_MILLIS : LIST_TIMEOUT_MILLIS;
    }

    /** Tells whether a process has just started, so that its own code is slow. */
    static boolean isCold(long ageNanos) {
        return millis(ageNanos) < COLD_MILLIS;
    }

    static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
