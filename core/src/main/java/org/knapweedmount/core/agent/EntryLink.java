package org.knapweedmount.core.agent;

import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;

/** The link to one entry. */
final class EntryLink {
    private final Incarnation entry;
    private final long tieBreaker;
    private long lastReceivedNanos;
    private boolean unresponsive;
    private boolean leaving;

    EntryLink(Incarnation entry, long tieBreaker, long nowNanos) {
        this.entry = entry;
        this.tieBreaker = tieBreaker;
        this.lastReceivedNanos = nowNanos;
    }

    Incarnation entry() {
        return entry;
    }

    /** Returns the tie-breaker among otherwise equal entries, which differs between agents. */
    long tieBreaker() {
        return tieBreaker;
    }

    /**
     * Records that a message was received.
     *
     * @return true if the entry was considered unresponsive before
     */
    boolean messageReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
        boolean wasUnresponsive = unresponsive;
        unresponsive = false;
        return wasUnresponsive;
    }

    /**
     * Marks the entry as unresponsive if no message was received within the timeout.
     *
     * @return true if the entry has become unresponsive by this call
     */
    boolean becameUnresponsive(int timeoutMillis, long nowNanos) {
        if (unresponsive || nowNanos - lastReceivedNanos < TimeUnit.MILLISECONDS.toNanos(timeoutMillis)) {
            return false;
        }
        unresponsive = true;
        return true;
    }

    void markLeaving() {
        leaving = true;
    }

    /** Returns whether leases may be granted to the entry. */
    boolean reachable() {
        return !unresponsive;
    }

    /** Returns whether leases may be granted to the entry ahead of demand. */
    boolean acceptsIdleLeases() {
        return !unresponsive && !leaving;
    }
}
