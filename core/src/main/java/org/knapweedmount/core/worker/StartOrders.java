package org.knapweedmount.core.worker;

import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;

/** Handles the orders of entries and the replies of the worker to the start orders that follow from them. */
final class StartOrders {
    private final WorkerOutput output;
    private final EntryTable entries;
    private final RunTable runs;
    private final WorkerLease lease;
    private final WorkerFence fence;
    private final HealthControl health;
    private final RunEvents events;
    private final CurrentWorker worker;
    private final RunControl control;
    private final EarlierWorkers earlierWorkers;
    private final StartGate gate;
    private final WorkerReports reports;

    StartOrders(WorkerParts parts, StartGate gate, WorkerReports reports) {
        this.output = parts.output();
        this.entries = parts.entries();
        this.runs = parts.runs();
        this.lease = parts.lease();
        this.fence = parts.fence();
        this.health = parts.health();
        this.events = parts.events();
        this.worker = parts.worker();
        this.control = parts.control();
        this.earlierWorkers = parts.earlierWorkers();
        this.gate = gate;
        this.reports = reports;
    }

    void renew(EntryView entryView, long timestampNanos, long nowNanos) {
        lease.entryExpiryMillis(timestampNanos, nowNanos).ifPresent(entryView::renew);
    }

    /** Starts the ordered runs that the worker has capacity for, and refuses the others. */
    void receive(Incarnation from, EntryView entryView, RunOrder order, long nowNanos) {
        renew(entryView, order.timestampNanos(), nowNanos);
        entryView.orderReceived(order.number());
        entryView.offerAnswered(order.offer(), !order.jobs().isEmpty());
        entryView.demand(order.demand(), nowNanos);
        Optional<String> outdated = lease.refusalReason(order.timestampNanos(), entryView.expiryMillis(), nowNanos);
        if (outdated.isPresent() && !order.jobs().isEmpty()) {
            // The entry receives a new timestamp before the refusals, so that its next order carries it.
            reports.send(from, nowNanos);
        }
        for (JobRuns job : order.jobs()) {
            for (RunRequest run : job.runs()) {
                Optional<String> refusal = refusalReason(entryView, order.timestampNanos(), run, outdated, nowNanos);
                if (refusal.isEmpty()) {
                    start(from, order.timestampNanos(), job, run, nowNanos);
                } else {
                    events.orderRefused(run.ref(), refusal.get(), runs.describeLoad(gate.free()));
                    entries.addResult(from, new RunResult(run.ref(), RunOutcome.REFUSED, 0, ""));
                }
            }
        }
    }

    private Optional<String> refusalReason(
            EntryView entryView, long timestampNanos, RunRequest request, Optional<String> outdated, long nowNanos) {
        boolean open = gate.acceptsStarts(nowNanos);
        if (!open && !gate.acceptsStartWhileClosed(entryView, timestampNanos, nowNanos)) {
            return Optional.of("closed");
        }
        if (outdated.isPresent()) {
            return outdated;
        }
        if (!request.resources().fits(gate.free())) {
            return Optional.of("no-room");
        }
        if (runs.holdsTask(request.ref().task())) {
            return Optional.of("task-present");
        }
        return Optional.empty();
    }

    private void start(Incarnation from, long timestampNanos, JobRuns job, RunRequest request, long nowNanos) {
        WorkerIncarnation incarnation = worker.incarnation();
        if (!gate.acceptsStarts(nowNanos)) {
            output.count(RunCounter.STARTS_WHILE_CLOSED);
        }
        runs.add(new TrackedRun(from, incarnation, job.queue(), request, nowNanos));
        long expiryMillis = control.extendLease(nowNanos);
        long ageNanos = WorkerTimings.nanos(lease.timestampMillis(nowNanos)) - timestampNanos;
        events.accepted(from, request.ref(), ageNanos, expiryMillis, lease.describe(incarnation, nowNanos), nowNanos);
        output.start(incarnation, job.spec(), request, fence.token(), expiryMillis);
    }

    /** Handles the reply to the start order of a run that the replying worker was ordered to start. */
    void answered(WorkerIncarnation incarnation, TrackedRun run, StartReply reply, long nowNanos) {
        if (!worker.isCurrent(incarnation)) {
            earlierWorkers.startAnswered(run, reply, nowNanos);
            return;
        }
        switch (reply) {
            case STARTED -> {
                events.confirmed(run.ref(), nowNanos);
                if (run.state() == RunState.STARTING) {
                    run.transitionTo(RunState.RUNNING, nowNanos);
                }
            }
            case UNANSWERED -> {
                output.logEvent("start-unanswered", RunEvents.describe(run.ref()) + " worker=" + incarnation);
                control.stop(run, nowNanos);
            }
            case OUTDATED -> control.end(run, RunOutcome.OUTDATED, RunEndEvidence.START_REPLY, "", nowNanos);
            default -> handleRefusal(run, reply, nowNanos);
        }
    }

    private void handleRefusal(TrackedRun run, StartReply reply, long nowNanos) {
        events.startRefused(run.ref(), reply, worker.incarnation());
        control.end(run, RunOutcome.REFUSED, RunEndEvidence.START_REPLY, "", nowNanos);
        switch (reply) {
            case FENCED -> gate.suspectFence("start-refused", nowNanos);
            case UNHEALTHY -> health.recordRefusal(run, nowNanos);
            case OTHER_LIFE -> gate.markEnded();
            case UNREACHABLE -> gate.markUnresponsive();
            default -> {
                // The reason concerns only this run.
            }
        }
    }

    /** Returns the run that a reply concerns: it is at the current worker, or at the earlier one that replies. */
    Optional<TrackedRun> concernedRun(WorkerIncarnation replying, RunRef ref) {
        return runs.find(ref).filter(run -> {
            boolean elsewhere = run.isAtOtherWorker(worker.incarnation());
            return worker.isCurrent(replying) ? !elsewhere : elsewhere && run.isAt(replying);
        });
    }
}
