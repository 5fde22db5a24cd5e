package org.knapweedmount.core.worker;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;

/**
 * Controls one worker, as the only process that sends orders to it.
 *
 * <p>Not thread-safe. Each method takes the current time of a monotonic clock.
 */
public final class WorkerAgent {
    private final WorkerOutput output;
    private final EntryTable entries;
    private final RunTable runs = new RunTable();
    private final WorkerLease lease = new WorkerLease();
    private final WorkerFence fence = new WorkerFence();
    private final WorkerHealth health;
    private final SlowdownEstimator slowdown = new SlowdownEstimator();
    private final RunListCalls listCalls = new RunListCalls();
    private final RunEvents events;
    private final CurrentWorker worker = new CurrentWorker();
    private final RunControl control;
    private final EarlierWorkers earlierWorkers;
    private final FenceControl fenceControl;
    private boolean noForeignRuns;
    private boolean currentWorkerDoubted;
    private boolean draining;
    private long acknowledgedEnd;

    /**
     * Creates an agent without a worker.
     *
     * @param output the receiver of decisions
     * @param start when the agent's process started
     */
    public WorkerAgent(WorkerOutput output, ProcessStart start) {
        this.output = output;
        this.entries = new EntryTable(output);
        this.events = new RunEvents(output);
        this.health = new WorkerHealth(output, worker);
        this.control = new RunControl(output, runs, entries, worker, lease, fence, events);
        this.earlierWorkers = new EarlierWorkers(output, runs, control, fence, start.nanos());
        this.fenceControl = new FenceControl(output, fence, worker, start, earlierWorkers, events);
    }

    /**
     * Handles an announcement of the worker.
     *
     * @param announcement the announcement
     * @param nowNanos the current time, in ns
     */
    public void announced(WorkerAnnouncement announcement, long nowNanos) {
        if (worker.isOutdated(announcement, control.hasRunsAtCurrentWorker())) {
            checkCurrentWorker(announcement, nowNanos);
            return;
        }
        boolean known = worker.isCurrent(announcement.incarnation());
        boolean wasDraining = worker.announcement().draining();
        if (!known) {
            replaceWorker(announcement, nowNanos);
        }
        worker.announced(announcement);
        if (!known) {
            startIncarnation(announcement, nowNanos);
        } else if (announcement.draining() != wasDraining) {
            output.logEvent(
                    "worker-draining", "worker=" + announcement.incarnation() + " draining=" + announcement.draining());
        }
        lease.observeClock(announcement.clockMillis(), nowNanos);
        reconcile(nowNanos);
    }

    /** Asks the current worker for a list if another life announces itself that started earlier by its VM's clock. */
    private void checkCurrentWorker(WorkerAnnouncement announcement, long nowNanos) {
        if (!worker.isCurrent(announcement.incarnation())) {
            currentWorkerDoubted = true;
            reconcile(nowNanos);
        }
    }

    private void replaceWorker(WorkerAnnouncement announcement, long nowNanos) {
        if (!worker.known()) {
            earlierWorkers.firstWorker();
        } else if (announcement.incarnation().id().equals(incarnation().id())) {
            earlierWorkers.sameWorker();
        } else {
            earlierWorkers.otherWorker(lease.lapseNanos(), nowNanos);
            health.reset();
        }
    }

    private void startIncarnation(WorkerAnnouncement announcement, long nowNanos) {
        output.logEvent("worker-life", "worker=" + announcement.incarnation() + " runs=" + runs.size());
        // The new incarnation may execute orders to the earlier one until a list has raised its fencing token.
        lease.begin(announcement.clockMillis(), nowNanos);
        noForeignRuns = false;
        listCalls.reset(nowNanos);
        slowdown.reset();
        acknowledgedEnd = 0;
        fenceControl.begin(announcement, nowNanos);
    }

    /**
     * Handles the worker's notice that it is leaving. Its runs end once they must have ended, as it may run on for a
     * moment.
     *
     * @param id the worker's ID
     * @param nowNanos the current time, in ns
     */
    public void workerLeft(String id, long nowNanos) {
        if (!worker.known() || !incarnation().id().equals(id)) {
            return;
        }
        output.logEvent("worker-left", "worker=" + incarnation() + " runs=" + runs.size());
        worker.markLeaving();
        reconcile(nowNanos);
    }

    /**
     * Handles a new link to an entry.
     *
     * @param entry the entry
     * @param nowNanos the current time, in ns
     */
    public void linked(Incarnation entry, long nowNanos) {
        entries.linked(entry, runs, lease.timestampMillis(nowNanos));
        entries.send(entry, report(entry, nowNanos), nowNanos);
    }

    /**
     * Handles the loss of a link.
     *
     * @param entry the entry
     * @param nowNanos the current time, in ns
     */
    public void unlinked(Incarnation entry, long nowNanos) {
        entries.unlinked(entry, nowNanos);
        entries.tellLinkedEntries(runs);
        reconcile(nowNanos);
    }

    /**
     * Handles a message of an entry.
     *
     * @param from the entry
     * @param message the message
     * @param nowNanos the current time, in ns
     */
    public void receive(Incarnation from, Message message, long nowNanos) {
        EntryView entryView = entries.of(from);
        if (message instanceof RunOrder order) {
            handleOrder(from, entryView, order, nowNanos);
        } else if (message instanceof ResourceDemand demand) {
            entryView.demand(demand, nowNanos);
        } else if (message instanceof StopRuns stop) {
            events.stopReceived(from, stop.runs(), nowNanos);
            stop.runs().forEach(ref -> runs.find(from, ref).ifPresent(run -> control.stop(run, nowNanos)));
        } else if (message instanceof LeaseRenewal renewal) {
            renew(entryView, renewal.timestampNanos(), nowNanos);
        }
        reconcile(nowNanos);
    }

    private void renew(EntryView entryView, long timestampNanos, long nowNanos) {
        lease.entryExpiryMillis(timestampNanos, nowNanos).ifPresent(entryView::renew);
    }

    private void handleOrder(Incarnation from, EntryView entryView, RunOrder order, long nowNanos) {
        renew(entryView, order.timestampNanos(), nowNanos);
        entryView.orderReceived(order.number());
        entryView.offerAnswered(order.offer(), !order.jobs().isEmpty());
        entryView.demand(order.demand(), nowNanos);
        Optional<String> outdated = lease.refusalReason(order.timestampNanos(), entryView.expiryMillis(), nowNanos);
        if (outdated.isPresent() && !order.jobs().isEmpty()) {
            // The entry receives a new timestamp before the refusals, so that its next order carries it.
            entries.send(from, report(from, nowNanos), nowNanos);
        }
        for (JobRuns job : order.jobs()) {
            for (RunRequest run : job.runs()) {
                Optional<String> refusal = refusalReason(run, outdated, nowNanos);
                if (refusal.isEmpty()) {
                    start(from, order.timestampNanos(), job, run, nowNanos);
                } else {
                    events.orderRefused(run.ref(), refusal.get(), runs.describeLoad(free()));
                    entries.addResult(from, new RunResult(run.ref(), RunOutcome.REFUSED, 0, ""));
                }
            }
        }
    }

    private Optional<String> refusalReason(RunRequest request, Optional<String> outdated, long nowNanos) {
        if (!acceptsStarts(nowNanos)) {
            return Optional.of("closed");
        }
        if (outdated.isPresent()) {
            return outdated;
        }
        if (!request.resources().fits(free())) {
            return Optional.of("no-room");
        }
        if (runs.holdsTask(request.ref().task())) {
            return Optional.of("task-present");
        }
        return Optional.empty();
    }

    private void start(Incarnation from, long timestampNanos, JobRuns job, RunRequest request, long nowNanos) {
        runs.add(new TrackedRun(from, incarnation(), job.queue(), request, nowNanos));
        long expiryMillis = control.extendLease(nowNanos);
        long ageNanos = WorkerTimings.nanos(lease.timestampMillis(nowNanos)) - timestampNanos;
        events.accepted(from, request.ref(), ageNanos, expiryMillis, lease.describe(incarnation(), nowNanos), nowNanos);
        output.start(incarnation(), job.spec(), request, fence.token(), expiryMillis);
    }

    /**
     * Handles the reply to a start order.
     *
     * @param incarnation the incarnation that the order was sent to
     * @param ref the run
     * @param reply the reply of the worker
     * @param nowNanos the current time, in ns
     */
    public void startAnswered(WorkerIncarnation incarnation, RunRef ref, StartReply reply, long nowNanos) {
        Optional<TrackedRun> found = runs.find(ref);
        if (found.isEmpty() || !concerns(incarnation, found.get())) {
            return;
        }
        TrackedRun run = found.get();
        if (!worker.isCurrent(incarnation)) {
            earlierWorkers.startAnswered(run, reply, nowNanos);
            reconcile(nowNanos);
            return;
        }
        switch (reply) {
            case STARTED -> {
                events.confirmed(ref, nowNanos);
                if (run.state() == RunState.STARTING) {
                    run.transitionTo(RunState.RUNNING, nowNanos);
                }
            }
            case UNANSWERED -> {
                output.logEvent("start-unanswered", RunEvents.describe(ref) + " worker=" + incarnation);
                control.stop(run, nowNanos);
            }
            case OUTDATED -> control.end(run, RunOutcome.OUTDATED, RunEndEvidence.START_REPLY, "", nowNanos);
            default -> handleRefusal(run, reply, nowNanos);
        }
        reconcile(nowNanos);
    }

    /** Returns whether a reply concerns a run: it is of the current worker, or of the earlier one that the run is at. */
    private boolean concerns(WorkerIncarnation replying, TrackedRun run) {
        boolean elsewhere = run.isAtOtherWorker(incarnation());
        return worker.isCurrent(replying) ? !elsewhere : elsewhere && run.isAt(replying);
    }

    private void handleRefusal(TrackedRun run, StartReply reply, long nowNanos) {
        events.startRefused(run.ref(), reply, incarnation());
        control.end(run, RunOutcome.REFUSED, RunEndEvidence.START_REPLY, "", nowNanos);
        switch (reply) {
            case FENCED -> suspectFence("start-refused", nowNanos);
            case UNHEALTHY -> health.quarantine("unhealthy", nowNanos);
            case OTHER_LIFE -> markEnded();
            case UNREACHABLE -> markUnresponsive();
            default -> {
                // The reason concerns only this run.
            }
        }
    }

    /** Accepts no more starts until the worker has announced itself and answered a list. */
    private void markEnded() {
        worker.markEnded();
        noForeignRuns = false;
    }

    /** Accepts no more starts until the worker has answered again. */
    private void markUnresponsive() {
        if (listCalls.markUnresponsive()) {
            events.workerSilent(incarnation());
        }
    }

    private void suspectFence(String reason, long nowNanos) {
        fenceControl.suspect(reason, nowNanos);
        noForeignRuns = false;
    }

    /**
     * Handles the reply to a stop order.
     *
     * @param incarnation the incarnation that the order was sent to
     * @param ref the run
     * @param reply the reply of the worker
     * @param nowNanos the current time, in ns
     */
    public void stopAnswered(WorkerIncarnation incarnation, RunRef ref, StopReply reply, long nowNanos) {
        Optional<TrackedRun> found = runs.find(ref);
        boolean current = worker.isCurrent(incarnation);
        if (reply == StopReply.FENCED && current) {
            suspectFence("stop-refused", nowNanos);
        }
        if (reply == StopReply.OTHER_LIFE && current) {
            markEnded();
        }
        if (found.isEmpty() || !concerns(incarnation, found.get())) {
            return;
        }
        if (reply == StopReply.CONFIRMED) {
            found.get().transitionTo(RunState.STOPPED, nowNanos);
            if (current && !found.get().wasListed()) {
                list(0, nowNanos);
            }
        }
        reconcile(nowNanos);
    }

    /**
     * Handles the run list of the worker.
     *
     * @param incarnation the incarnation that the request was sent to
     * @param sentNanos when the list was requested, in ns
     * @param list the list
     * @param nowNanos the current time, in ns
     */
    public void listAnswered(WorkerIncarnation incarnation, long sentNanos, RunList list, long nowNanos) {
        if (!worker.isCurrent(incarnation)) {
            earlierWorkers.listAnswered(incarnation(), incarnation, sentNanos, list, nowNanos);
            reconcile(nowNanos);
            return;
        }
        listCalls.ended(sentNanos);
        if (list.startMillis() != incarnation.startMillis()) {
            output.logEvent("worker-restarted", "worker=" + incarnation + " born=" + list.startMillis());
            worker.markReplaced(list.startMillis());
            noForeignRuns = false;
            reconcile(nowNanos);
            return;
        }
        listCalls.answered(nowNanos);
        lease.observeClock(list.clockMillis(), nowNanos);
        if (fence.covers(sentNanos) && fence.confirm()) {
            lease.assumeLongest(list.clockMillis());
            events.fenceInPlace(incarnation, fence);
        }
        events.listed(list, acknowledgedEnd, sentNanos, lease.describe(incarnation(), nowNanos), nowNanos);
        Set<RunRef> listedRuns = applyRunning(list.running(), sentNanos, nowNanos);
        applyEnded(list.ended(), nowNanos);
        control.endAbsentRuns(listedRuns, sentNanos, nowNanos);
        reconcile(nowNanos);
    }

    /** Returns a run that is not at an earlier worker; those of two workers can have the same number. */
    private Optional<TrackedRun> findHere(RunRef ref) {
        return runs.find(ref).filter(run -> !run.isAtOtherWorker(incarnation()));
    }

    private Set<RunRef> applyRunning(List<RunList.Running> running, long sentNanos, long nowNanos) {
        Set<RunRef> listedRuns = new HashSet<>();
        int foreign = 0;
        for (RunList.Running row : running) {
            listedRuns.add(row.ref());
            Optional<TrackedRun> held = findHere(row.ref());
            if (held.isEmpty()) {
                foreign++;
                output.stop(incarnation(), row.ref(), fence.token());
                continue;
            }
            if (!held.get().isAt(incarnation())) {
                held.get().foundAt(incarnation());
                control.sendStop(held.get(), nowNanos);
            }
            held.get().updateProgress(row.percent(), nowNanos).ifPresent(ratio -> slowdown.observe(ratio, nowNanos));
            if (held.get().state() == RunState.STARTING) {
                held.get().transitionTo(RunState.RUNNING, nowNanos);
            }
        }
        boolean clean = foreign == 0 && (noForeignRuns || fence.covers(sentNanos));
        if (noForeignRuns != clean) {
            output.logEvent("worker-clean", "worker=" + incarnation() + " foreign=" + foreign);
            noForeignRuns = clean;
        }
        if (clean) {
            earlierWorkers.currentIsClean();
        }
        return listedRuns;
    }

    private void applyEnded(List<RunList.Ended> ended, long nowNanos) {
        for (RunList.Ended row : ended) {
            if (row.number() <= acknowledgedEnd) {
                continue;
            }
            acknowledgedEnd = row.number();
            Optional<TrackedRun> run = findHere(row.ref());
            if (run.isEmpty()) {
                continue;
            }
            if (row.outcome() == RunOutcome.DONE) {
                run.get().slowdownAtEnd(nowNanos).ifPresent(ratio -> slowdown.observe(ratio, nowNanos));
            }
            health.recordEnd(row.outcome(), nowNanos);
            control.end(run.get(), row.outcome(), RunEndEvidence.LISTED, row.checkpoint(), nowNanos);
        }
    }

    /**
     * Handles the failure of a request for the run list.
     *
     * @param incarnation the incarnation that the request was sent to
     * @param sentNanos when the list was requested, in ns
     * @param failure why there is no list
     * @param nowNanos the current time, in ns
     */
    public void listFailed(WorkerIncarnation incarnation, long sentNanos, RunListFailure failure, long nowNanos) {
        if (!worker.isCurrent(incarnation)) {
            return;
        }
        listCalls.ended(sentNanos);
        switch (failure) {
            case FENCED -> {
                fenceControl.listRefused(sentNanos, nowNanos);
                noForeignRuns = false;
            }
            case OTHER_LIFE -> markEnded();
            case UNREACHABLE -> markUnresponsive();
            default -> handleLostList(nowNanos);
        }
    }

    private void handleLostList(long nowNanos) {
        if (listCalls.lost(nowNanos)) {
            events.workerSilent(incarnation());
        }
        // A worker that fails each call at once is asked again only at the next tick.
        if (!listCalls.unresponsive() && listCalls.mayRetryAtOnce()) {
            reconcile(nowNanos);
        }
    }

    /**
     * Stops expired and stalled runs, retries stop orders and reports to entries; call this periodically.
     *
     * @param nowNanos the current time, in ns
     */
    public void tick(long nowNanos) {
        long timestampMillis = lease.timestampMillis(nowNanos);
        entries.byEntry().forEach((entry, entryView) -> {
            entryView.expireOffer(nowNanos);
            if (entryView.mustStopRuns(timestampMillis, nowNanos)) {
                runs.of(entry).forEach(run -> control.stop(run, nowNanos));
            }
        });
        stopStalled(nowNanos);
        control.retryStops(nowNanos);
        endLapsedRuns(nowNanos);
        earlierWorkers.tick(incarnation(), nowNanos);
        entries.removeExpired(runs, timestampMillis, nowNanos);
        entries.tellLinkedEntries(runs);
        reconcile(nowNanos);
    }

    private void stopStalled(long nowNanos) {
        for (TrackedRun run : runs.stalled(incarnation(), nowNanos)) {
            events.stalled(run, incarnation());
            health.quarantine("stalled", nowNanos);
            control.stop(run, nowNanos);
        }
    }

    /** Ends all runs of a worker that does not answer once its clock must have passed its last lease expiry. */
    private void endLapsedRuns(long nowNanos) {
        List<TrackedRun> left = runs.matching(run -> !run.isAtOtherWorker(incarnation()));
        boolean silent = listCalls.unresponsive() || worker.displaced();
        if (!silent || left.isEmpty() || !fence.inPlace() || !lease.hasLapsed(nowNanos)) {
            return;
        }
        output.logEvent("worker-lapsed", "worker=" + incarnation() + " runs=" + runs.size());
        // An unanswered start may still be executed, and a later extension of the worker's lease would apply to it.
        fenceControl.raise("runs-lapsed", nowNanos);
        noForeignRuns = false;
        left.forEach(run -> control.end(run, RunOutcome.LAPSED, RunEndEvidence.CLOCK, "", nowNanos));
    }

    /** Follows up any change: sends results, offers capacity, reports, and keeps a list call in flight. */
    private void reconcile(long nowNanos) {
        entries.sendResults(lease.timestampMillis(nowNanos));
        events.flush(lease.describe(incarnation(), nowNanos), nowNanos);
        if (acceptsStarts(nowNanos)) {
            entries.offerCapacity(capacity().minus(runs.usedCapacity()), nowNanos);
        }
        if (slowdown.hasChanged(nowNanos)) {
            events.paceChanged(incarnation(), slowdown.percent(nowNanos), runs.describeLoad(free()));
        }
        entries.report(
                entry -> report(entry, nowNanos),
                new ReportRule.View(acceptsStarts(nowNanos), free(), capacity(), slowdown.percent(nowNanos)),
                incarnation().id(),
                entry -> runs.any(run -> run.entry().equals(entry)),
                nowNanos);
        boolean clockOutdated = lease.needsReading(nowNanos) && listCalls.isIdle(nowNanos);
        boolean idleCallDue = !noForeignRuns || listCalls.unresponsive() || clockOutdated || currentWorkerDoubted;
        boolean due = !runs.isEmpty() || (idleCallDue && !worker.leaving());
        if (due && !listCalls.inFlight() && worker.isPresent()) {
            listCalls.sent(nowNanos);
            currentWorkerDoubted = false;
            list(noForeignRuns ? listCalls.waitMillis(nowNanos) : 0, nowNanos);
        }
    }

    private void list(int waitMillis, long nowNanos) {
        // The lease of a worker that does not answer must expire, so that its runs have an end.
        boolean extend = control.hasRunsAtCurrentWorker() && !listCalls.unresponsive();
        long expiryMillis = !extend ? 0 : control.extendLease(nowNanos);
        output.list(incarnation(), fence.tokenForList(nowNanos), acknowledgedEnd, expiryMillis, nowNanos, waitMillis);
    }

    private WorkerReport report(Incarnation entry, long nowNanos) {
        EntryView entryView = entries.of(entry);
        WorkerAnnouncement known = worker.announcement();
        return new WorkerReport(
                lease.issueTimestampNanos(nowNanos),
                known.service(),
                known.incarnation().toString(),
                known.labels(),
                known.capacity(),
                free(),
                acceptsStarts(nowNanos),
                entryView.lastOrderNumber(),
                entries.backlogCoreMillisExcept(entryView),
                slowdown.percent(nowNanos),
                entries.isPrompt(entry),
                runs.condition(nowNanos));
    }

    private Resources free() {
        return capacity().minus(runs.usedCapacity()).minus(entries.offeredCapacity());
    }

    private Resources capacity() {
        return worker.announcement().capacity();
    }

    private boolean acceptsStarts(long nowNanos) {
        return worker.acceptsStarts()
                && noForeignRuns
                && earlierWorkers.foreignRunsEnded(nowNanos)
                && !listCalls.unresponsive()
                && !draining
                && health.admits(runs.size(), nowNanos);
    }

    private WorkerIncarnation incarnation() {
        return worker.incarnation();
    }

    /**
     * Starts the drain before a planned stop: accepts no more starts.
     *
     * @param nowNanos the current time, in ns
     */
    public void beginDrain(long nowNanos) {
        draining = true;
        reconcile(nowNanos);
    }

    /**
     * Stops all runs, so that their entries can start them elsewhere.
     *
     * @param nowNanos the current time, in ns
     */
    public void stopAll(long nowNanos) {
        runs.all().forEach(run -> control.stop(run, nowNanos));
    }

    /**
     * Returns the number of runs that occupy capacity.
     *
     * @return the number of runs
     */
    public int runCount() {
        return runs.size();
    }
}
