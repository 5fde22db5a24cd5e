package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.EntryAdmission;
import org.knapweedmount.api.message.EvacuationNotice;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerCondition;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.core.evacuation.ReceivedNotices;

/** The entries known to the agent of a worker, and the messages sent to them. */
final class EntryTable {
    private final WorkerOutput output;
    private final Map<Incarnation, EntryView> entries = new LinkedHashMap<>();
    private final Map<Incarnation, List<RunResult>> pendingResults = new LinkedHashMap<>();
    private final ReceivedNotices evacuation;
    private LinkedEntries lastTold = new LinkedEntries(List.of(), List.of());
    private Set<Incarnation> promptEntries = Set.of();
    private String promptWorker = "";
    private long lastOfferNumber;

    EntryTable(WorkerOutput output) {
        this.output = output;
        this.evacuation = new ReceivedNotices(output::logEvent);
    }

    EntryView of(Incarnation entry) {
        return entries.computeIfAbsent(entry, key -> new EntryView());
    }

    /** Returns the sender of a message, after recording what it says of itself and of the agent's data centre. */
    EntryView received(Incarnation entry, Message message) {
        if (message instanceof EvacuationNotice notice) {
            evacuation.received(entry, notice);
        }
        EntryView view = of(entry);
        if (message instanceof EntryAdmission admission) {
            view.admissionReceived(admission.open());
        } else if (message instanceof RunOrder) {
            view.admissionReceived(true);
        }
        return view;
    }

    /** Returns whether the data centre of the agent is closed, as far as the linked entries have told. */
    boolean isDataCentreClosed() {
        return evacuation.isClosed();
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
        choosePromptEntries();
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

    /** Handles the loss of the link to an entry. */
    void unlinked(Incarnation entry, long nowNanos) {
        of(entry).unlink(nowNanos);
        evacuation.unlinked(entry);
        choosePromptEntries();
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
            if (view.linked() && view.mayHoldJobs()) {
                linked.add(entry);
            } else if (!view.linked() && !runs.of(entry).isEmpty()) {
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

    /**
     * Reports to linked entries: to some of them after a large change, to all when the worker begins or ceases to accept
     * starts, and to each from time to time, more often if it has runs here.
     *
     * @param content creates the report to an entry
     * @param workerView the present state of the worker
     * @param worker the ID of the worker
     * @param hasRuns returns whether an entry has runs here
     */
    void report(
            Function<Incarnation, WorkerReport> content,
            ReportRule.View workerView,
            String worker,
            Predicate<Incarnation> hasRuns,
            long nowNanos) {
        if (!worker.equals(promptWorker)) {
            promptWorker = worker;
            choosePromptEntries();
        }
        entries.forEach((entry, view) -> {
            if (view.linked() && isReportDue(entry, view, workerView, hasRuns, nowNanos)) {
                send(entry, content.apply(entry), nowNanos);
            }
        });
    }

    private boolean isReportDue(
            Incarnation entry,
            EntryView view,
            ReportRule.View workerView,
            Predicate<Incarnation> hasRuns,
            long nowNanos) {
        long ageMillis = WorkerTimings.millis(view.reportAgeNanos(nowNanos));
        if (ageMillis < WorkerTimings.MIN_REPORT_INTERVAL_MILLIS) {
            return false;
        }
        if (ageMillis >= WorkerTimings.IDLE_REPORT_INTERVAL_MILLIS) {
            return true;
        }
        boolean prompt = isPrompt(entry);
        boolean isOld = ageMillis >= WorkerTimings.MAX_REPORT_INTERVAL_MILLIS && (prompt || hasRuns.test(entry));
        return isOld || ReportRule.isWorthReporting(view.reported(), workerView, prompt);
    }

    /** Sends a report of the present state of the worker to an entry. */
    void send(Incarnation entry, WorkerReport report, long nowNanos) {
        EntryView view = of(entry);
        view.reported(ReportRule.View.of(report), nowNanos);
        view.availabilityReported(
                report.condition().availability() == WorkerCondition.Availability.UNHEALTHY, report.timestampNanos());
        output.send(entry, report);
    }

    /** Returns whether an entry is told of large changes at once. */
    boolean isPrompt(Incarnation entry) {
        return promptEntries.contains(entry);
    }

    private void choosePromptEntries() {
        List<Incarnation> linked = new ArrayList<>();
        entries.forEach((entry, view) -> {
            if (view.linked()) {
                linked.add(entry);
            }
        });
        promptEntries = PromptEntries.choose(linked, promptWorker);
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
