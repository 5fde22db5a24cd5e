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

    /** Returns its place among entries that are otherwise equal, which differs from agent to agent. */
    long rank() {
        return rank;
    }

    /**
     * Takes a sign of life.
     *
     * @return true if the entry had been taken for silent
     */
    boolean heard(long nowNanos) {
        heardNanos = nowNanos;
        boolean returned = silent;
        silent = false;
        return returned;
    }

    /**
     * Takes the entry for silent if it was not heard for the timeout.
     *
     * @return true if it has just become silent
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

    /** Tells whether leases may be granted to it. */
    boolean reachable() {
        return !silent;
    }

    /** Tells whether it is to have leases before it asks for them. */
    boolean takesIdleLeases() {
        return !silent && !leaving;
    }
}
