package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunResult;

/** The entries that the agent of a worker has to do with, and what they are told. */
final class EntryTable {
    private final WorkerOutput output;
    private final Map<Incarnation, EntryLease> entries = new LinkedHashMap<>();
    private final Map<Incarnation, List<RunResult>> ends = new LinkedHashMap<>();
    private ReportRule.View reported = ReportRule.View.NONE;
    private long reportedNanos;
    private long offers;

    EntryTable(WorkerOutput output) {
        this.output = output;
    }

    EntryLease of(Incarnation entry, long nowNanos) {
        return entries.computeIfAbsent(entry, unknown -> new EntryLease(nowNanos));
    }

    Collection<EntryLease> leases() {
        return entries.values();
    }

    Map<Incarnation, EntryLease> byEntry() {
        return entries;
    }

    /** Tells an entry, on a new link, what has become of its runs. */
    void linked(Incarnation entry, RunTable runs, long nowNanos) {
        EntryLease lease = of(entry, nowNanos);
        lease.link();
        if (!lease.untold().isEmpty()) {
            output.send(entry, new RunsEnded(lease.untold()));
            lease.untold().clear();
        }
        output.send(
                entry, new ActiveRuns(runs.of(entry).stream().map(HeldRun::ref).toList()));
    }

    /** Forgets entries that are not linked and have no run. */
    void forgetGone(RunTable runs, long nowNanos) {
        entries.entrySet()
                .removeIf(entry -> !entry.getValue().linked()
                        && entry.getValue().lapsing(nowNanos)
                        && runs.of(entry.getKey()).isEmpty());
    }

    /** Notes the end of a run, which is told by {@link #tellEnds}. */
    void ended(Incarnation entry, RunResult end) {
        ends.computeIfAbsent(entry, none -> new ArrayList<>()).add(end);
    }

    void tellEnds() {
        ends.forEach((entry, told) -> {
            EntryLease lease = entries.get(entry);
            if (lease == null) {
                return;
            }
            if (lease.linked()) {
                output.send(entry, new RunsEnded(told));
            } else {
                lease.untold().addAll(told);
            }
        });
        ends.clear();
    }

    /** Offers what is left of some room to the entries that want it most. */
    void offerRoom(Resources room, long nowNanos) {
        for (Optional<EntryLease> next = nextToOffer(room); next.isPresent(); next = nextToOffer(room)) {
            offer(next.get(), room.minus(offered()), nowNanos);
        }
    }

    private Optional<EntryLease> nextToOffer(Resources room) {
        return OfferOrder.next(entries.values(), room.minus(offered()));
    }

    private void offer(EntryLease lease, Resources free, long nowNanos) {
        offers++;
        lease.offered(new EntryLease.Offer(offers, free, nowNanos + WorkerTimings.nanos(WorkerTimings.OFFER_MILLIS)));
        for (Map.Entry<Incarnation, EntryLease> entry : entries.entrySet()) {
            if (entry.getValue() == lease) {
                output.send(entry.getKey(), new ResourceOffer(offers, free));
            }
        }
    }

    /** Returns the room that is kept for entries with offers. */
    Resources offered() {
        Resources sum = Resources.NONE;
        for (EntryLease lease : entries.values()) {
            if (lease.offer().isPresent()) {
                sum = sum.plus(lease.offer().get().room());
            }
        }
        return sum;
    }

    /** Reports to all linked entries if that is worth it, at the latest after the longest time between reports. */
    void report(Function<EntryLease, WorkerReport> content, ReportRule.View view, long nowNanos) {
        long age = nowNanos - reportedNanos;
        boolean due = age >= WorkerTimings.nanos(WorkerTimings.REPORT_MILLIS);
        boolean worth = ReportRule.worth(reported, view) && age >= WorkerTimings.nanos(WorkerTimings.REPORT_GAP_MILLIS);
        if (!due && !worth) {
            return;
        }
        reported = view;
        reportedNanos = nowNanos;
        entries.forEach((entry, lease) -> {
            if (lease.linked()) {
                output.send(entry, content.apply(lease));
            }
        });
    }

    /** Returns the work that entries other than one have queued, in milliseconds of a core. */
    long backlogWithout(EntryLease one) {
        long sum = 0;
        for (EntryLease lease : entries.values()) {
            sum += lease == one ? 0 : lease.demand().backlogCoreMillis();
        }
        return sum;
    }
}
