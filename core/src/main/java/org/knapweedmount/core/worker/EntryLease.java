package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.work.RunResult;

/** What the agent knows of an entry: its lease, its demand, the room offered to it, and ends that it has not been told. */
final class EntryLease {
    private boolean linked;
    private long unlinkedNanos;
    private long expiryNanos;
    private ResourceDemand demand = ResourceDemand.NONE;
    private long dueNanos;
    private Optional<Offer> offer = Optional.empty();
    private boolean declined;
    private long ordersSeen;
    private final List<RunResult> untold = new ArrayList<>();

    /** Room that is kept for the entry until it answers. */
    record Offer(long number, Resources room, long untilNanos) {}

    EntryLease(long nowNanos) {
        this.linked = true;
        this.expiryNanos = nowNanos;
    }

    boolean linked() {
        return linked;
    }

    void link() {
        linked = true;
    }

    void unlink(long nowNanos) {
        linked = false;
        unlinkedNanos = nowNanos;
        demand = ResourceDemand.NONE;
        offer = Optional.empty();
    }

    /** Extends the lease from a stamp of this agent that the entry has sent back. */
    void renew(long stampNanos, long nowNanos) {
        if (stampNanos - nowNanos > 0) {
            return;
        }
        long extended = stampNanos + WorkerTimings.nanos(WorkerTimings.LEASE_MILLIS);
        if (extended - expiryNanos > 0) {
            expiryNanos = extended;
        }
    }

    /** Returns until when the entry's runs may go on. */
    long expiryNanos() {
        return expiryNanos;
    }

    /** Tells whether the entry's runs are to be stopped now. */
    boolean lapsing(long nowNanos) {
        boolean silent = expiryNanos - nowNanos <= WorkerTimings.nanos(WorkerTimings.STOP_AHEAD_MILLIS);
        boolean gone = !linked && nowNanos - unlinkedNanos > WorkerTimings.nanos(WorkerTimings.RELINK_MILLIS);
        return silent || gone;
    }

    void demand(ResourceDemand newest, long nowNanos) {
        demand = newest;
        dueNanos = nowNanos + newest.virtualDeadlineMicros() * 1_000;
        declined = false;
    }

    ResourceDemand demand() {
        return demand;
    }

    /** Returns when the entry's most urgent task has to start, by the agent's clock. */
    long dueNanos() {
        return dueNanos;
    }

    /** Tells whether room may be offered to the entry now. */
    boolean wants() {
        return linked && demand.queuedTasks() > 0 && offer.isEmpty() && !declined;
    }

    Optional<Offer> offer() {
        return offer;
    }

    void offered(Offer made) {
        offer = Optional.of(made);
    }

    /** Takes back an offer that was not answered in time, and makes no other before the entry has told its demand anew. */
    void expireOffer(long nowNanos) {
        if (offer.isPresent() && nowNanos - offer.get().untilNanos() > 0) {
            offer = Optional.empty();
            declined = true;
        }
    }

    void answered(long number, boolean used) {
        if (offer.isPresent() && offer.get().number() == number) {
            offer = Optional.empty();
            declined = !used;
        }
    }

    void ordered(long number) {
        ordersSeen = Math.max(ordersSeen, number);
    }

    /** Returns the number of the entry's last order. */
    long ordersSeen() {
        return ordersSeen;
    }

    List<RunResult> untold() {
        return untold;
    }
}
