package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.work.RunResult;

/** The agent's view of an entry: its lease, its demand, the capacity offered to it and unconfirmed results. */
final class EntryView {
    private boolean linked;
    private long unlinkedNanos;
    private long expiryMillis;
    private ResourceDemand demand = ResourceDemand.NONE;
    private long virtualDeadlineNanos;
    private Optional<Offer> offer = Optional.empty();
    private boolean declined;
    private boolean admitting = true;
    private boolean everAdmitted;
    private long lastOrderNumber;
    private ReportRule.View reported = ReportRule.View.NONE;
    private long lastReportNanos;

    /** The timestamp of the first of the last reports by which the worker is closed for its health, in ns. */
    private OptionalLong toldUnhealthyNanos = OptionalLong.empty();

    private final List<SentResult> unconfirmedResults = new ArrayList<>();

    /** A result and the timestamp at which it was last sent, in ms. */
    private record SentResult(RunResult result, long timestampMillis) {}

    /** Capacity that is reserved for the entry until it answers. */
    record Offer(long number, Resources resources, long untilNanos) {}

    EntryView() {
        this.linked = true;
    }

    boolean linked() {
        return linked;
    }

    void link() {
        linked = true;
        // The entry may have forgotten this agent and count its orders from 1 again.
        lastOrderNumber = 0;
    }

    /** Waits for the entry to tell that it admits jobs, unless this incarnation has told it before. */
    void awaitAdmission() {
        admitting = everAdmitted;
    }

    /** Records whether the entry admits jobs; an incarnation that has begun to never ceases to. */
    void admissionReceived(boolean open) {
        everAdmitted |= open;
        admitting = everAdmitted;
    }

    /** Returns whether the entry may hold jobs that others have to know of. */
    boolean mayHoldJobs() {
        return admitting;
    }

    void unlink(long nowNanos) {
        linked = false;
        unlinkedNanos = nowNanos;
        demand = ResourceDemand.NONE;
        offer = Optional.empty();
    }

    /**
     * Extends the lease to a timestamp of {@link WorkerLease}, in ms. The entry has returned the timestamp at which the
     * lease begins, so it has received the results that were sent before.
     */
    void renew(long untilMillis) {
        expiryMillis = Math.max(expiryMillis, untilMillis);
        long returnedMillis = untilMillis - WorkerTimings.LEASE_MILLIS;
        unconfirmedResults.removeIf(sent -> sent.timestampMillis() < returnedMillis);
    }

    /** Returns when the lease of the entry's runs expires, as a timestamp of {@link WorkerLease} in ms. */
    long expiryMillis() {
        return expiryMillis;
    }

    /** Returns whether the entry's runs have to be stopped: its lease is about to expire or its link is lost. */
    boolean mustStopRuns(long timestampMillis, long nowNanos) {
        boolean leaseExpiring = expiryMillis - timestampMillis <= WorkerTimings.STOP_BEFORE_EXPIRY_MILLIS;
        boolean linkLost =
                !linked && nowNanos - unlinkedNanos > WorkerTimings.nanos(WorkerTimings.RECONNECT_GRACE_MILLIS);
        return leaseExpiring || linkLost;
    }

    void demand(ResourceDemand received, long nowNanos) {
        demand = received;
        virtualDeadlineNanos = nowNanos + received.virtualDeadlineMicros() * 1_000;
        declined = false;
    }

    ResourceDemand demand() {
        return demand;
    }

    /** Returns the virtual deadline of the entry's demand, by the agent's clock, in ns. */
    long virtualDeadlineNanos() {
        return virtualDeadlineNanos;
    }

    /** Returns whether capacity may be offered to the entry now. */
    boolean canBeOffered() {
        return linked && demand.queuedTasks() > 0 && offer.isEmpty() && !declined;
    }

    Optional<Offer> offer() {
        return offer;
    }

    void offerMade(Offer newOffer) {
        offer = Optional.of(newOffer);
    }

    /** Withdraws an offer that was not answered in time; the next one waits for a new demand of the entry. */
    void expireOffer(long nowNanos) {
        if (offer.isPresent() && nowNanos - offer.get().untilNanos() > 0) {
            offer = Optional.empty();
            declined = true;
        }
    }

    void offerAnswered(long number, boolean used) {
        if (offer.isPresent() && offer.get().number() == number) {
            offer = Optional.empty();
            declined = !used;
        }
    }

    /** Records what a report says about the health of the worker. */
    void availabilityReported(boolean unhealthy, long timestampNanos) {
        if (!unhealthy) {
            toldUnhealthyNanos = OptionalLong.empty();
        } else if (toldUnhealthyNanos.isEmpty()) {
            toldUnhealthyNanos = OptionalLong.of(timestampNanos);
        }
    }

    /** Returns whether an order is based on a report by which the worker is closed for its health, as it still is. */
    boolean wasToldUnhealthy(long timestampNanos) {
        return toldUnhealthyNanos.isPresent() && timestampNanos - toldUnhealthyNanos.getAsLong() >= 0;
    }

    void reported(ReportRule.View workerView, long nowNanos) {
        reported = workerView;
        lastReportNanos = nowNanos;
    }

    /** Returns the state of the worker that the entry was told last. */
    ReportRule.View reported() {
        return reported;
    }

    /** Returns the time since the last report to the entry, in ns. */
    long reportAgeNanos(long nowNanos) {
        return nowNanos - lastReportNanos;
    }

    void orderReceived(long number) {
        lastOrderNumber = Math.max(lastOrderNumber, number);
    }

    /** Returns the number of the entry's last order on the current link, 0 if there is none. */
    long lastOrderNumber() {
        return lastOrderNumber;
    }

    /** Keeps results that are sent at a timestamp, or will be on the next link, until the entry has received them. */
    void resultsSent(List<RunResult> results, long timestampMillis) {
        results.forEach(result -> unconfirmedResults.add(new SentResult(result, timestampMillis)));
    }

    /** Returns the results that the entry may not have received. */
    List<RunResult> unconfirmedResults() {
        return unconfirmedResults.stream().map(SentResult::result).toList();
    }

    /** Records that all unconfirmed results are sent again. */
    void resultsSentAgain(long timestampMillis) {
        unconfirmedResults.replaceAll(sent -> new SentResult(sent.result(), timestampMillis));
    }
}
