package org.knapweedmount.core.worker;

import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.core.worker.health.HealthCheck;
import org.knapweedmount.core.worker.health.WorkerLifecycle;

/**
 * Controls one worker, as the only process that sends orders to it.
 *
 * <p>Not thread-safe. Each method takes the current time of a monotonic clock.
 */
public final class WorkerAgent {
    private final WorkerOutput output;
    private final EntryTable entries;
    private final RunTable runs;
    private final WorkerLease lease;
    private final HealthControl health;
    private final WorkerLifecycle lifecycle;
    private final SlowdownEstimator slowdown;
    private final RunListCalls listCalls;
    private final RunEvents events;
    private final CurrentWorker worker;
    private final RunControl control;
    private final EarlierWorkers earlierWorkers;
    private final FenceControl fenceControl;
    private final LateOrders lateOrders;
    private final SuccessorControl successors;
    private final StartGate gate;
    private final WorkerReports reports;
    private final StartOrders startOrders;
    private final RunLists lists;
    private final RunDeadlines deadlines;

    /**
     * Creates an agent without a worker.
     *
     * @param output the receiver of decisions
     * @param start when the agent's process started
     */
    public WorkerAgent(WorkerOutput output, ProcessStart start) {
        WorkerParts parts = new WorkerParts(output, start);
        this.output = output;
        this.entries = parts.entries();
        this.runs = parts.runs();
        this.lease = parts.lease();
        this.health = parts.health();
        this.lifecycle = parts.lifecycle();
        this.slowdown = parts.slowdown();
        this.listCalls = parts.listCalls();
        this.events = parts.events();
        this.worker = parts.worker();
        this.control = parts.control();
        this.earlierWorkers = parts.earlierWorkers();
        this.fenceControl = parts.fenceControl();
        this.lateOrders = parts.lateOrders();
        this.successors = parts.successors();
        this.gate = new StartGate(parts);
        this.reports = new WorkerReports(parts, gate);
        this.startOrders = new StartOrders(parts, gate, reports);
        this.lists = new RunLists(parts, gate);
        this.deadlines = new RunDeadlines(parts, gate);
    }

    /**
     * Handles an announcement of the worker.
     *
     * @param announcement the announcement
     * @param nowNanos the current time, in ns
     * @return whether what the announcement says is in force
     */
    public AnnouncementOutcome announced(WorkerAnnouncement announcement, long nowNanos) {
        if (worker.isOutdated(announcement, control.hasRunsAtCurrentWorker())) {
            checkCurrentWorker(announcement, nowNanos);
            return worker.outcomeOfOutdated(announcement);
        }
        boolean known = worker.isCurrent(announcement.incarnation());
        boolean wasDraining = worker.announcement().draining();
        if (!known) {
            replaceWorker(announcement, nowNanos);
        } else if (worker.successor().isPresent()) {
            // The calls in flight are to another incarnation.
            listCalls.reset(nowNanos);
            lateOrders.reset();
        }
        worker.announced(announcement);
        if (!known) {
            startIncarnation(announcement, nowNanos);
        } else if (announcement.draining() != wasDraining) {
            output.logEvent(
                    "worker-draining", "worker=" + announcement.incarnation() + " draining=" + announcement.draining());
        }
        lifecycle.announced(
                announcement.coldMillis(), announcement.draining(), announcement.remainingMillis(), nowNanos);
        lease.observeClock(announcement.clockMillis(), nowNanos);
        deadlines.stopBeforeDeparture(nowNanos);
        reconcile(nowNanos);
        return AnnouncementOutcome.APPLIED;
    }

    /** Asks the current worker for a list if another life announces itself that started earlier by its VM's clock. */
    private void checkCurrentWorker(WorkerAnnouncement announcement, long nowNanos) {
        if (!worker.isCurrent(announcement.incarnation())) {
            lists.doubtCurrentWorker();
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
        gate.requireList();
        listCalls.reset(nowNanos);
        lateOrders.reset();
        slowdown.reset();
        lifecycle.reset();
        lists.begin();
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
        reports.send(entry, nowNanos);
    }

    /**
     * Handles a new link to an entry that will tell whether it admits jobs. Until it does, it holds none, and the other
     * entries are not told of the link: their requests would wait for an entry that is still busy with its start.
     *
     * @param entry the entry
     * @param nowNanos the current time, in ns
     */
    public void linkedBeforeAdmission(Incarnation entry, long nowNanos) {
        entries.of(entry).awaitAdmission();
        linked(entry, nowNanos);
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
        EntryView entryView = entries.received(from, message);
        if (message instanceof RunOrder order) {
            startOrders.receive(from, entryView, order, nowNanos);
        } else if (message instanceof ResourceDemand demand) {
            entryView.demand(demand, nowNanos);
        } else if (message instanceof StopRuns stop) {
            events.stopReceived(from, stop.runs(), nowNanos);
            stop.runs().forEach(ref -> runs.find(from, ref).ifPresent(run -> control.stop(run, nowNanos)));
        } else if (message instanceof LeaseRenewal renewal) {
            startOrders.renew(entryView, renewal.timestampNanos(), nowNanos);
        }
        reconcile(nowNanos);
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
        if (reply == StartReply.UNANSWERED) {
            output.count(RunCounter.STARTS_UNANSWERED);
            orderUnanswered(incarnation, nowNanos);
        }
        Optional<TrackedRun> run = startOrders.concernedRun(incarnation, ref);
        if (run.isEmpty()) {
            return;
        }
        startOrders.answered(incarnation, run.get(), reply, nowNanos);
        reconcile(nowNanos);
    }

    private void orderUnanswered(WorkerIncarnation incarnation, long nowNanos) {
        if (incarnation.id().equals(incarnation().id())) {
            lateOrders.unanswered(nowNanos);
        }
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
        boolean current = worker.isCurrent(incarnation);
        if (reply == StopReply.UNANSWERED) {
            orderUnanswered(incarnation, nowNanos);
        }
        if (reply == StopReply.FENCED && current) {
            gate.suspectFence("stop-refused", nowNanos);
        }
        if (reply == StopReply.OTHER_LIFE && current) {
            gate.markEnded();
        }
        Optional<TrackedRun> found = startOrders.concernedRun(incarnation, ref);
        if (found.isEmpty()) {
            return;
        }
        if (reply == StopReply.CONFIRMED) {
            found.get().transitionTo(RunState.STOPPED, nowNanos);
            if (current && !found.get().wasListed()) {
                lists.requestNow(nowNanos);
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
        lateOrders.callEnded(sentNanos);
        if (worker.isSuccessor(incarnation)) {
            successors.listAnswered(incarnation, sentNanos, list, nowNanos);
            reconcile(nowNanos);
            return;
        }
        if (!worker.isCurrent(incarnation)) {
            earlierWorkers.listAnswered(incarnation(), incarnation, sentNanos, list, nowNanos);
            reconcile(nowNanos);
            return;
        }
        lists.answered(sentNanos, list, nowNanos);
        reconcile(nowNanos);
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
        lateOrders.callEnded(sentNanos);
        if (worker.isSuccessor(incarnation)) {
            successors.listFailed(sentNanos, failure, nowNanos);
            if (!listCalls.unresponsive() && listCalls.mayRetryAtOnce()) {
                reconcile(nowNanos);
            }
            return;
        }
        if (!worker.isCurrent(incarnation)) {
            return;
        }
        if (lists.failed(sentNanos, failure, nowNanos)) {
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
        deadlines.stopExpired(timestampMillis, nowNanos);
        deadlines.stopStalled(nowNanos);
        deadlines.stopBeforeDeparture(nowNanos);
        control.retryStops(nowNanos);
        deadlines.endLapsed(nowNanos);
        earlierWorkers.tick(incarnation(), nowNanos);
        entries.removeExpired(runs, timestampMillis, nowNanos);
        entries.tellLinkedEntries(runs);
        reconcile(nowNanos);
    }

    /** Follows up any change: sends results, offers capacity, reports, and keeps a list call in flight. */
    private void reconcile(long nowNanos) {
        entries.sendResults(lease.timestampMillis(nowNanos));
        events.flush(lease.describe(incarnation(), nowNanos), nowNanos);
        if (gate.acceptsStarts(nowNanos)) {
            entries.offerCapacity(gate.capacity().minus(runs.usedCapacity()), nowNanos);
        }
        if (slowdown.hasChanged(nowNanos)) {
            events.paceChanged(incarnation(), slowdown.percent(nowNanos), runs.describeLoad(gate.free()));
        }
        reports.sendDue(nowNanos);
        lists.requestDue(nowNanos);
        health.checkDue(runs.size(), nowNanos);
    }

    /**
     * Handles the result of a health check.
     *
     * @param incarnation the incarnation that the check was for
     * @param result the result
     * @param nowNanos the current time, in ns
     */
    public void healthChecked(WorkerIncarnation incarnation, HealthCheck result, long nowNanos) {
        if (worker.isCurrent(incarnation)) {
            health.checked(result, nowNanos);
            reconcile(nowNanos);
        }
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
        gate.beginDrain();
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
