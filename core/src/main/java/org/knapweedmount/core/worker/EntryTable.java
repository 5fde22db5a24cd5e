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
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunResult;

/** The entries known to the agent of a worker, and the messages sent to them. */
final class EntryTable {
    private final WorkerOutput output;
    private final Map<Incarnation, EntryView> entries = new LinkedHashMap<>();
    private final Map<Incarnation, List<RunResult>> pendingResults = new LinkedHashMap<>();
    private LinkedEntries lastTold = new LinkedEntries(List.of(), List.of());
    private ReportRule.View lastReported = ReportRule.View.NONE;
    private long lastReportNanos;
    private long lastOfferNumber;

    EntryTable(WorkerOutput output) {
        this.output = output;
    }

    EntryView of(Incarnation entry) {
        return entries.computeIfAbsent(entry, key -> new EntryView());
    }

    Collection<EntryView> views() {
        return entries.values();
    }

    Map<Incarnation, EntryView> byEntry() {
        return entries;
    }

    /** Sends the unconfirmed results and the active runs to an entry on a new link. */
    void linked(Incarnation entry, RunTable runs, long timestampMillis) {
        EntryView view = of(entry);
        view.link();
        lastTold = linkedEntries(runs);
        // An entry orders nothing here before it knows which others may have runs here.
        entries.keySet().forEach(other -> tellLinkedEntries(other, lastTold));
        List<RunResult> unconfirmed = view.unconfirmedResults();
        if (!unconfirmed.isEmpty()) {
            output.send(entry, new RunsEnded(unconfirmed));
            view.resultsSentAgain(timestampMillis);
        }
        output.send(
                entry,
                new ActiveRuns(runs.of(entry).stream().map(TrackedRun::ref).toList()));
    }

    /** Tells all linked entries which others may have runs here, if that has changed. */
    void tellLinkedEntries(RunTable runs) {
        LinkedEntries present = linkedEntries(runs);
        if (!present.equals(lastTold)) {
            lastTold = present;
            entries.keySet().forEach(entry -> tellLinkedEntries(entry, present));
        }
    }

    private void tellLinkedEntries(Incarnation receiver, LinkedEntries present) {
        if (of(receiver).linked()) {
            List<Incarnation> others = present.entries().stream()
                    .filter(entry -> !entry.equals(receiver))
                    .toList();
            output.send(receiver, new LinkedEntries(others, present.unlinkedWithRuns()));
        }
    }

    private LinkedEntries linkedEntries(RunTable runs) {
        List<Incarnation> linked = new ArrayList<>();
        List<Incarnation> unlinkedWithRuns = new ArrayList<>();
        entries.forEach((entry, view) -> {
            if (view.linked()) {
                linked.add(entry);
            } else if (!runs.of(entry).isEmpty()) {
                unlinkedWithRuns.add(entry);
            }
        });
        return new LinkedEntries(linked, unlinkedWithRuns);
    }

    /** Removes entries with neither a link nor runs, once their lease or time for reconnecting ends. */
    void removeExpired(RunTable runs, long timestampMillis, long nowNanos) {
        entries.entrySet()
                .removeIf(entry -> !entry.getValue().linked()
                        && entry.getValue().mustStopRuns(timestampMillis, nowNanos)
                        && runs.of(entry.getKey()).isEmpty());
    }

    /** Records the result of a run; {@link #sendResults} sends it. */
    void addResult(Incarnation entry, RunResult result) {
        pendingResults.computeIfAbsent(entry, key -> new ArrayList<>()).add(result);
    }

    void sendResults(long timestampMillis) {
        pendingResults.forEach((entry, newResults) -> {
            EntryView view = entries.get(entry);
            if (view == null) {
                return;
            }
            view.resultsSent(newResults, timestampMillis);
            if (view.linked()) {
                output.send(entry, new RunsEnded(newResults));
            }
        });
        pendingResults.clear();
    }

    /** Offers what is left of some capacity to the entries with the most urgent demands. */
    void offerCapacity(Resources capacity, long nowNanos) {
        for (Optional<EntryView> next = nextToOffer(capacity); next.isPresent(); next = nextToOffer(capacity)) {
            offer(next.get(), capacity.minus(offeredCapacity()), nowNanos);
        }
    }

    private Optional<EntryView> nextToOffer(Resources capacity) {
        return OfferOrder.next(entries.values(), capacity.minus(offeredCapacity()));
    }

    private void offer(EntryView view, Resources free, long nowNanos) {
        lastOfferNumber++;
        view.offerMade(new EntryView.Offer(
                lastOfferNumber, free, nowNanos + WorkerTimings.nanos(WorkerTimings.OFFER_TIMEOUT_MILLIS)));
        for (Map.Entry<Incarnation, EntryView> entry : entries.entrySet()) {
            if (entry.getValue() == view) {
                output.send(entry.getKey(), new ResourceOffer(lastOfferNumber, free));
            }
        }
    }

    /** Returns the capacity that is reserved for offers. */
    Resources offeredCapacity() {
        Resources sum = Resources.NONE;
        for (EntryView view : entries.values()) {
            if (view.offer().isPresent()) {
                sum = sum.plus(view.offer().get().resources());
            }
        }
        return sum;
    }

    /** Reports to all linked entries after a significant change, and at least once per maximum interval. */
    void report(Function<EntryView, WorkerReport> content, ReportRule.View workerView, long nowNanos) {
        long age = nowNanos - lastReportNanos;
        boolean due = age >= WorkerTimings.nanos(WorkerTimings.MAX_REPORT_INTERVAL_MILLIS);
        boolean worthReporting = ReportRule.isWorthReporting(lastReported, workerView)
                && age >= WorkerTimings.nanos(WorkerTimings.MIN_REPORT_INTERVAL_MILLIS);
        if (!due && !worthReporting) {
            return;
        }
        lastReported = workerView;
        lastReportNanos = nowNanos;
        entries.forEach((entry, view) -> {
            if (view.linked()) {
                output.send(entry, content.apply(view));
            }
        });
    }

    /** Returns the queued work of all entries but one, in core-milliseconds. */
    long backlogCoreMillisExcept(EntryView excluded) {
        long sum = 0;
        for (EntryView view : entries.values()) {
            sum += view == excluded ? 0 : view.demand().backlogCoreMillis();
        }
        return sum;
    }
}
