package org.knapweedmount.core.agent;

/** What one entry has of one flow: its queue as last told, and the leases bound to the flow. */
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

    /** Takes a lease that will serve the oldest task; the others are taken to have come evenly since. */
    void leased(long nowNanos) {
        int need = need();
        if (need > 0) {
            oldestNanos += (nowNanos - oldestNanos) / need;
        }
        leased++;
    }

    void unleased() {
        leased--;
    }

    int need() {
        return Math.max(0, queued - leased);
    }

    /** Counts the queued tasks as last told, with those that leases under way will serve. */
    int tasks() {
        return queued;
    }

    long oldestNanos() {
        return oldestNanos;
    }

    boolean empty() {
        return queued == 0 && leased == 0;
    }
}
