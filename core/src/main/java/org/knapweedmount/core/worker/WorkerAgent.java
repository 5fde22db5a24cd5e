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
    private final WorkerClock clock = new WorkerClock();
    private final WorkerHealth health = new WorkerHealth();
    private final SlowdownEstimator slowdown = new SlowdownEstimator();
    private final RunListCalls listCalls = new RunListCalls();
    private final RunEvents events;
    private Optional<WorkerAnnouncement> worker = Optional.empty();
    private Optional<WorkerIncarnation> endedIncarnation = Optional.empty();
    private boolean noForeignRuns;
    private boolean draining;
    private long fence;
    private long acknowledgedEnd;
    private long latestExpiryMillis;

    /**
     * Creates an agent without a worker.
     *
     * @param output the receiver of decisions
     */
    public WorkerAgent(WorkerOutput output) {
        this.output = output;
        this.entries = new EntryTable(output);
        this.events = new RunEvents(output);
    }

    /**
     * Handles an announcement of the worker.
     *
     * @param announcement the announcement
     * @param nowNanos the current time, in ns
     */
    public void announced(WorkerAnnouncement announcement, long nowNanos) {
        boolean known = worker.isPresent() && worker.get().incarnation().equals(announcement.incarnation());
        boolean outdated = known && announcement.sequence() <= worker.get().sequence();
        if (outdated || isEarlierIncarnation(announcement.incarnation())) {
            return;
        }
        boolean wasDraining = worker.isPresent() && worker.get().draining();
        worker = Optional.of(announcement);
        if (!known) {
            startIncarnation(announcement, nowNanos);
        } else if (announcement.draining() != wasDraining) {
            output.logEvent(
                    "worker-draining", "worker=" + announcement.incarnation() + " draining=" + announcement.draining());
        }
        reconcile(nowNanos);
    }

    /** Returns whether an incarnation started before the current one, or at the same time. */
    private boolean isEarlierIncarnation(WorkerIncarnation incarnation) {
        return worker.isPresent()
                && !incarnation.equals(worker.get().incarnation())
                && incarnation.startMillis() <= worker.get().incarnation().startMillis();
    }

    private void startIncarnation(WorkerAnnouncement announcement, long nowNanos) {
        output.logEvent("worker-life", "worker=" + announcement.incarnation() + " runs=" + runs.size());
        // The first list raises the fencing token of the new incarnation, which rejects orders to the earlier one.
        runs.all().forEach(run -> end(run, RunOutcome.LAPSED, RunEndEvidence.NEW_INCARNATION, "", nowNanos));
        clock.reset();
        clock.observe(announcement.clockMillis(), nowNanos);
        endedIncarnation = Optional.empty();
        noForeignRuns = false;
        listCalls.reset(nowNanos);
        slowdown.reset();
        acknowledgedEnd = 0;
        latestExpiryMillis = 0;
        fence = announcement.incarnation().startMillis() + announcement.clockMillis();
    }

    /**
     * Handles the worker's notice that it has left.
     *
     * @param id the worker's ID
     * @param nowNanos the current time, in ns
     */
    public void workerLeft(String id, long nowNanos) {
        if (worker.isEmpty() || !worker.get().incarnation().id().equals(id)) {
            return;
        }
        output.logEvent("worker-left", "worker=" + worker.get().incarnation());
        markIncarnationEnded();
        runs.all().forEach(run -> end(run, RunOutcome.LAPSED, RunEndEvidence.WORKER_LEFT, "", nowNanos));
        reconcile(nowNanos);
    }

    /**
     * Handles a new link to an entry.
     *
     * @param entry the entry
     * @param nowNanos the current time, in ns
     */
    public void linked(Incarnation entry, long nowNanos) {
        entries.linked(entry, runs, nowNanos);
        output.send(entry, report(entries.of(entry, nowNanos), nowNanos));
    }

    /**
     * Handles the loss of a link.
     *
     * @param entry the entry
     * @param nowNanos the current time, in ns
     */
    public void unlinked(Incarnation entry, long nowNanos) {
        entries.of(entry, nowNanos).unlink(nowNanos);
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
        EntryView entryView = entries.of(from, nowNanos);
        if (message instanceof RunOrder order) {
            handleOrder(from, entryView, order, nowNanos);
        } else if (message instanceof ResourceDemand demand) {
            entryView.demand(demand, nowNanos);
        } else if (message instanceof StopRuns stop) {
            stop.runs().forEach(ref -> runs.find(ref).ifPresent(run -> stop(run, nowNanos)));
        } else if (message instanceof LeaseRenewal renewal) {
            entryView.renew(renewal.timestampNanos(), nowNanos);
        }
        reconcile(nowNanos);
    }

    private void handleOrder(Incarnation from, EntryView entryView, RunOrder order, long nowNanos) {
        entryView.renew(order.timestampNanos(), nowNanos);
        entryView.orderReceived(order.number());
        entryView.offerAnswered(order.offer(), !order.jobs().isEmpty());
        entryView.demand(order.demand(), nowNanos);
        boolean recent = nowNanos - order.timestampNanos() <= WorkerTimings.nanos(WorkerTimings.MAX_ORDER_AGE_MILLIS);
        for (JobRuns job : order.jobs()) {
            for (RunRequest run : job.runs()) {
                Optional<String> refusal = refusalReason(run, recent, nowNanos);
                if (refusal.isEmpty()) {
                    start(from, order.timestampNanos(), job.spec(), run, nowNanos);
                } else {
                    events.orderRefused(run.ref(), refusal.get(), load());
                    entries.addResult(from, new RunResult(run.ref(), RunOutcome.REFUSED, 0, ""));
                }
            }
        }
    }

    private Optional<String> refusalReason(RunRequest request, boolean recent, long nowNanos) {
        if (!acceptsStarts(nowNanos)) {
            return Optional.of("closed");
        }
        if (!recent) {
            return Optional.of("old-order");
        }
        if (!request.resources().fits(free())) {
            return Optional.of("no-room");
        }
        if (runs.holdsTask(request.ref().task())) {
            return Optional.of("task-present");
        }
        return Optional.empty();
    }

    private void start(Incarnation from, long timestampNanos, String spec, RunRequest request, long nowNanos) {
        runs.add(new TrackedRun(from, request, nowNanos));
        long expiryMillis = leaseExpiryMillis(nowNanos);
        latestExpiryMillis = Math.max(latestExpiryMillis, expiryMillis);
        events.accepted(from, request.ref(), nowNanos - timestampNanos, expiryMillis, lease(nowNanos), nowNanos);
        output.start(incarnation(), spec, request, fence, expiryMillis);
    }

    private void stop(TrackedRun run, long nowNanos) {
        if (run.state().ending()) {
            return;
        }
        run.transitionTo(RunState.STOPPING, nowNanos);
        output.stop(incarnation(), run.ref(), fence);
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
        if (found.isEmpty() || !isCurrent(incarnation)) {
            return;
        }
        TrackedRun run = found.get();
        switch (reply) {
            case STARTED -> {
                events.confirmed(ref, nowNanos);
                if (run.state() == RunState.STARTING) {
                    run.transitionTo(RunState.RUNNING, nowNanos);
                }
            }
            case UNANSWERED -> {
                output.logEvent("start-unanswered", RunEvents.describe(ref) + " worker=" + incarnation);
                stop(run, nowNanos);
            }
            case OUTDATED -> end(run, RunOutcome.OUTDATED, RunEndEvidence.START_REPLY, "", nowNanos);
            default -> handleRefusal(run, reply, nowNanos);
        }
        reconcile(nowNanos);
    }

    private void handleRefusal(TrackedRun run, StartReply reply, long nowNanos) {
        events.startRefused(run.ref(), reply, incarnation());
        end(run, RunOutcome.REFUSED, RunEndEvidence.START_REPLY, "", nowNanos);
        switch (reply) {
            case FENCED -> raiseFence(nowNanos);
            case UNHEALTHY -> quarantine("unhealthy", nowNanos);
            case OTHER_LIFE -> markIncarnationEnded();
            case UNREACHABLE -> markUnresponsive();
            default -> {
                // The reason concerns only this run.
            }
        }
    }

    /** Sends the worker no more orders until a later incarnation announces itself. */
    private void markIncarnationEnded() {
        endedIncarnation = worker.map(WorkerAnnouncement::incarnation);
    }

    /** Accepts no more starts until the worker has answered again. */
    private void markUnresponsive() {
        if (listCalls.markUnresponsive()) {
            events.workerSilent(incarnation());
        }
    }

    private void raiseFence(long nowNanos) {
        fence = Math.max(fence, incarnation().startMillis() + clock.millis(nowNanos)) + 1;
        output.logEvent("fence-raised", "worker=" + incarnation() + " fence=" + fence);
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
        if (reply == StopReply.FENCED && isCurrent(incarnation)) {
            raiseFence(nowNanos);
        }
        if (found.isEmpty() || !isCurrent(incarnation)) {
            return;
        }
        if (reply == StopReply.OTHER_LIFE) {
            end(found.get(), RunOutcome.LAPSED, RunEndEvidence.STOP_REPLY, "", nowNanos);
        }
        if (reply == StopReply.CONFIRMED) {
            found.get().transitionTo(RunState.STOPPED, nowNanos);
            if (!found.get().wasListed()) {
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
        if (!isCurrent(incarnation)) {
            return;
        }
        listCalls.ended(sentNanos);
        if (list.startMillis() != incarnation.startMillis()) {
            output.logEvent("worker-restarted", "worker=" + incarnation + " born=" + list.startMillis());
            markIncarnationEnded();
            reconcile(nowNanos);
            return;
        }
        listCalls.answered(nowNanos);
        clock.observe(list.clockMillis(), nowNanos);
        events.listed(list, acknowledgedEnd, sentNanos, lease(nowNanos), nowNanos);
        Set<RunRef> listedRuns = applyRunning(list.running(), nowNanos);
        applyEnded(list.ended(), nowNanos);
        handleAbsentRuns(listedRuns, sentNanos, nowNanos);
        reconcile(nowNanos);
    }

    private Set<RunRef> applyRunning(List<RunList.Running> running, long nowNanos) {
        Set<RunRef> listedRuns = new HashSet<>();
        int foreign = 0;
        for (RunList.Running row : running) {
            listedRuns.add(row.ref());
            Optional<TrackedRun> held = runs.find(row.ref());
            if (held.isEmpty()) {
                foreign++;
                output.stop(incarnation(), row.ref(), fence);
                continue;
            }
            held.get().updateProgress(row.percent(), nowNanos).ifPresent(ratio -> slowdown.observe(ratio, nowNanos));
            if (held.get().state() == RunState.STARTING) {
                held.get().transitionTo(RunState.RUNNING, nowNanos);
            }
        }
        if (noForeignRuns != (foreign == 0)) {
            output.logEvent("worker-clean", "worker=" + incarnation() + " foreign=" + foreign);
            noForeignRuns = foreign == 0;
        }
        return listedRuns;
    }

    private void applyEnded(List<RunList.Ended> ended, long nowNanos) {
        for (RunList.Ended row : ended) {
            if (row.number() <= acknowledgedEnd) {
                continue;
            }
            acknowledgedEnd = row.number();
            Optional<TrackedRun> run = runs.find(row.ref());
            if (run.isEmpty()) {
                continue;
            }
            updateHealth(run.get(), row.outcome(), nowNanos);
            end(run.get(), row.outcome(), RunEndEvidence.LISTED, row.checkpoint(), nowNanos);
        }
    }

    private void updateHealth(TrackedRun run, RunOutcome outcome, long nowNanos) {
        if (outcome == RunOutcome.DONE) {
            run.slowdownAtEnd(nowNanos).ifPresent(ratio -> slowdown.observe(ratio, nowNanos));
            if (health.quarantined()) {
                output.logEvent("worker-back", "worker=" + incarnation());
            }
            health.recordSuccess();
        } else if (outcome == RunOutcome.FAILED && health.recordFailure(nowNanos)) {
            output.logEvent("worker-aside", "worker=" + incarnation() + " reason=failures");
        }
    }

    private void quarantine(String reason, long nowNanos) {
        if (health.quarantine(nowNanos)) {
            output.logEvent("worker-aside", "worker=" + incarnation() + " reason=" + reason);
        }
    }

    /** Ends or stops runs that a list requested after their last state change would contain if the worker had them. */
    private void handleAbsentRuns(Set<RunRef> listedRuns, long sentNanos, long nowNanos) {
        for (TrackedRun run : runs.all()) {
            boolean requestedAfterChange = run.stateNanos() - sentNanos <= 0;
            if (listedRuns.contains(run.ref()) || !requestedAfterChange) {
                continue;
            }
            if (run.state() == RunState.STOPPED) {
                end(run, RunOutcome.STOPPED, RunEndEvidence.ABSENT, "", nowNanos);
            } else if (run.state() == RunState.RUNNING && run.countAbsence() >= WorkerTimings.MAX_ABSENT_LISTS) {
                output.logEvent("run-missing", RunEvents.describe(run.ref()) + " worker=" + incarnation());
                stop(run, nowNanos);
            }
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
        if (!isCurrent(incarnation)) {
            return;
        }
        listCalls.ended(sentNanos);
        switch (failure) {
            case FENCED -> raiseFence(nowNanos);
            case OTHER_LIFE -> markIncarnationEnded();
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

    private void end(TrackedRun run, RunOutcome outcome, RunEndEvidence evidence, String checkpoint, long nowNanos) {
        runs.remove(run.ref());
        events.released(run, outcome, evidence, lease(nowNanos), nowNanos);
        int elapsedMillis = (int) WorkerTimings.millis(nowNanos - run.orderedNanos());
        entries.addResult(run.entry(), new RunResult(run.ref(), outcome, elapsedMillis, checkpoint));
    }

    /**
     * Stops expired and stalled runs, retries stop orders and reports to entries; call this periodically.
     *
     * @param nowNanos the current time, in ns
     */
    public void tick(long nowNanos) {
        entries.byEntry().forEach((entry, entryView) -> {
            entryView.expireOffer(nowNanos);
            if (entryView.mustStopRuns(nowNanos)) {
                runs.of(entry).forEach(run -> stop(run, nowNanos));
            }
        });
        stopStalled(nowNanos);
        retryStops(nowNanos);
        endLapsedRuns(nowNanos);
        entries.removeExpired(runs, nowNanos);
        reconcile(nowNanos);
    }

    private void stopStalled(long nowNanos) {
        for (TrackedRun run : runs.matching(run -> run.state() == RunState.RUNNING)) {
            if (StallRule.isStalled(run, nowNanos)) {
                events.stalled(run, incarnation());
                quarantine("stalled", nowNanos);
                stop(run, nowNanos);
            }
        }
    }

    private void retryStops(long nowNanos) {
        long dueNanos = nowNanos - WorkerTimings.nanos(WorkerTimings.STOP_RETRY_INTERVAL_MILLIS);
        for (TrackedRun run : runs.matching(run -> run.state() == RunState.STOPPING)) {
            if (run.stateNanos() - dueNanos <= 0) {
                run.transitionTo(RunState.STOPPING, nowNanos);
                output.stop(incarnation(), run.ref(), fence);
            }
        }
    }

    /** Ends all runs of an unresponsive worker once its clock must have passed its last lease expiry. */
    private void endLapsedRuns(long nowNanos) {
        boolean passed = clock.known() && clock.millis(nowNanos) > latestExpiryMillis + WorkerTimings.MAX_STOP_MILLIS;
        if (!listCalls.unresponsive() || runs.isEmpty() || !passed) {
            return;
        }
        output.logEvent("worker-lapsed", "worker=" + incarnation() + " runs=" + runs.size());
        runs.all().forEach(run -> end(run, RunOutcome.LAPSED, RunEndEvidence.CLOCK, "", nowNanos));
    }

    /** Follows up any change: sends results, offers capacity, reports, and keeps a list call in flight. */
    private void reconcile(long nowNanos) {
        entries.sendResults();
        events.flush(lease(nowNanos), nowNanos);
        if (acceptsStarts(nowNanos)) {
            entries.offerCapacity(capacity().minus(runs.usedCapacity()), nowNanos);
        }
        if (slowdown.hasChanged(nowNanos)) {
            output.logEvent(
                    "worker-pace", "worker=" + incarnation() + " percent=" + slowdown.percent(nowNanos) + " " + load());
        }
        ReportRule.View view =
                new ReportRule.View(acceptsStarts(nowNanos), free(), capacity(), slowdown.estimate(nowNanos));
        entries.report(entryView -> report(entryView, nowNanos), view, nowNanos);
        boolean due = !runs.isEmpty() || !noForeignRuns || listCalls.unresponsive();
        if (due && !listCalls.inFlight() && endedIncarnation.isEmpty() && worker.isPresent()) {
            listCalls.sent(nowNanos);
            list(noForeignRuns ? listCalls.waitMillis(nowNanos) : 0, nowNanos);
        }
    }

    private void list(int waitMillis, long nowNanos) {
        long expiryMillis = runs.isEmpty() ? 0 : leaseExpiryMillis(nowNanos);
        latestExpiryMillis = Math.max(latestExpiryMillis, expiryMillis);
        output.list(incarnation(), fence, acknowledgedEnd, expiryMillis, nowNanos, waitMillis);
    }

    private WorkerReport report(EntryView entryView, long nowNanos) {
        WorkerAnnouncement known = worker.orElse(WorkerAnnouncement.NONE);
        return new WorkerReport(
                nowNanos,
                known.service(),
                known.incarnation().toString(),
                known.labels(),
                known.capacity(),
                free(),
                acceptsStarts(nowNanos),
                entryView.lastOrderNumber(),
                entries.backlogCoreMillisExcept(entryView),
                slowdown.percent(nowNanos));
    }

    private Resources free() {
        return capacity().minus(runs.usedCapacity()).minus(entries.offeredCapacity());
    }

    private Resources capacity() {
        return worker.map(WorkerAnnouncement::capacity).orElse(Resources.NONE);
    }

    private boolean acceptsStarts(long nowNanos) {
        return worker.isPresent()
                && !worker.get().draining()
                && endedIncarnation.isEmpty()
                && noForeignRuns
                && !listCalls.unresponsive()
                && !draining
                && health.admits(runs.size(), nowNanos);
    }

    /** Returns the worker's lease expiry by its clock, in ms: the earliest lease expiry of entries with runs. */
    private long leaseExpiryMillis(long nowNanos) {
        long remaining = WorkerTimings.nanos(WorkerTimings.LEASE_MILLIS);
        for (TrackedRun run : runs.all()) {
            remaining = Math.min(remaining, entries.of(run.entry(), nowNanos).expiryNanos() - nowNanos);
        }
        return clock.millis(nowNanos) + Math.max(0, WorkerTimings.millis(remaining));
    }

    private WorkerIncarnation incarnation() {
        return worker.orElse(WorkerAnnouncement.NONE).incarnation();
    }

    private boolean isCurrent(WorkerIncarnation incarnation) {
        return worker.isPresent() && worker.get().incarnation().equals(incarnation);
    }

    private RunEvents.Lease lease(long nowNanos) {
        return new RunEvents.Lease(incarnation(), latestExpiryMillis, clock.millis(nowNanos));
    }

    private String load() {
        return "free=" + free().milliCores() + " runs=" + runs.size();
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
        runs.all().forEach(run -> stop(run, nowNanos));
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
