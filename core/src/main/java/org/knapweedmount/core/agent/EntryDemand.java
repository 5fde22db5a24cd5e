package org.knapweedmount.core.agent;

/** The demand of one entry for one flow: its last reported queue, and its leases that are bound to the flow. */
final class EntryDemand {
    private int queued;
    private int leased;
    private long oldestNanos;

    void queued(int tasks, long oldestSinceNanos) {
        if (tasks > 0) {
            oldestNanos = oldestSinceNanos;
        }
        queued = tasks;
    }

    /**
     * Accounts for a lease granted for the oldest queued task.
     *
     * <p>The age of the next task is estimated on the assumption that the queued tasks arrived at even intervals.
     */
    void leased(long nowNanos) {
        int unleased = unleasedTasks();
        if (unleased > 0) {
            oldestNanos += (nowNanos - oldestNanos) / unleased;
        }
        leased++;
    }

    void unleased() {
        leased--;
    }

    int unleasedTasks() {
        return Math.max(0, queued - leased);
    }

    /** Returns the last reported number of queued tasks, including those that granted leases will serve. */
    int queuedTasks() {
        return queued;
    }

    long oldestNanos() {
        return oldestNanos;
    }

    boolean empty() {
        return queued == 0 && leased == 0;
    }
}
