package org.knapweedmount.core.agent;

import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;

/** The link to one entry. */
final class EntryLink {
    private final Incarnation entry;
    private final long rank;
    private long heardNanos;
    private boolean silent;
    private boolean leaving;

    EntryLink(Incarnation entry, long rank, long nowNanos) {
        this.entry = entry;
        this.rank = rank;
        this.heardNanos = nowNanos;
    }

    Incarnation entry() {
        return entry;
    }

    /** Returns the tie-breaker among otherwise equal entries, which differs between agents. */
    long rank() {
        return rank;
    }

    /**
     * Records that a message was received.
     *
     * @return true if the entry was considered unresponsive before
     */
    boolean heard(long nowNanos) {
        heardNanos = nowNanos;
        boolean returned = silent;
        silent = false;
        return returned;
    }

    /**
     * Marks the entry as unresponsive if no message was received within the timeout.
     *
     * @return true if the entry has become unresponsive by this call
     */
    boolean fellSilent(int timeoutMillis, long nowNanos) {
        if (silent || nowNanos - heardNanos < TimeUnit.MILLISECONDS.toNanos(timeoutMillis)) {
            return false;
        }
        silent = true;
        return true;
    }

    void leaves() {
        leaving = true;
    }

    /** Returns whether leases may be granted to the entry. */
    boolean reachable() {
        return !silent;
    }

    /** Returns whether leases may be granted to the entry ahead of demand. */
    boolean takesIdleLeases() {
        return !silent && !leaving;
    }
}
