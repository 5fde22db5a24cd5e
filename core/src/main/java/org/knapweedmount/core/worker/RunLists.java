package org.knapweedmount.core.worker;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.core.worker.health.WorkerLifecycle;

/** Requests the run lists of the current worker, and applies them. */
final class RunLists {
    private final WorkerOutput output;
    private final RunTable runs;
    private final WorkerLease lease;
    private final WorkerFence fence;
    private final HealthControl health;
    private final WorkerLifecycle lifecycle;
    private final SlowdownEstimator slowdown;
    private final RunListCalls listCalls;
    private final RunEvents events;
    private final CurrentWorker worker;
    private final RunControl control;
    private final EarlierWorkers earlierWorkers;
    private final FenceControl fenceControl;
    private final SuccessorControl successors;
    private final StartGate gate;
    private boolean currentWorkerDoubted;
    private long acknowledgedEnd;

    RunLists(WorkerParts parts, StartGate gate) {
        this.output = parts.output();
        this.runs = parts.runs();
        this.lease = parts.lease();
        this.fence = parts.fence();
        this.health = parts.health();
        this.lifecycle = parts.lifecycle();
        this.slowdown = parts.slowdown();
        this.listCalls = parts.listCalls();
        this.events = parts.events();
        this.worker = parts.worker();
        this.control = parts.control();
        this.earlierWorkers = parts.earlierWorkers();
        this.fenceControl = parts.fenceControl();
        this.successors = parts.successors();
        this.gate = gate;
    }

    /** Begins with an incarnation, whose numbers of run ends start anew. */
    void begin() {
        acknowledgedEnd = 0;
    }

    /** Records that another incarnation may have taken the place of the current worker, so that a list is due. */
    void doubtCurrentWorker() {
        currentWorkerDoubted = true;
    }

    /** Keeps a list call in flight while the worker has runs, or a list is needed for another reason. */
    void requestDue(long nowNanos) {
        boolean clockOutdated = lease.needsReading(nowNanos) && listCalls.isIdle(nowNanos);
        boolean idleCallDue =
                !gate.noForeignRuns() || listCalls.unresponsive() || clockOutdated || currentWorkerDoubted;
        boolean due = !runs.isEmpty() || (idleCallDue && !worker.leaving());
        if (due && !listCalls.inFlight() && worker.isPresent()) {
            listCalls.sent(nowNanos);
            currentWorkerDoubted = false;
            request(gate.noForeignRuns() ? listCalls.waitMillis(nowNanos) : 0, nowNanos);
        }
        successors.follow(nowNanos);
        if (runs.isEmpty()) {
            successors.watch(acknowledgedEnd, nowNanos);
        }
    }

    /** Requests a list beside the one in flight. */
    void requestNow(long nowNanos) {
        request(0, nowNanos);
    }

    private void request(int waitMillis, long nowNanos) {
        // The lease of a worker that does not answer must expire, so that its runs have an end.
        boolean extend = control.hasRunsAtCurrentWorker() && !listCalls.unresponsive();
        long expiryMillis = !extend ? 0 : control.extendLease(nowNanos);
        output.list(
                worker.incarnation(),
                fence.tokenForList(nowNanos),
                acknowledgedEnd,
                expiryMillis,
                nowNanos,
                waitMillis);
    }

    /** Applies a list that was requested from the current worker. */
    void answered(long sentNanos, RunList list, long nowNanos) {
        WorkerIncarnation incarnation = worker.incarnation();
        listCalls.ended(sentNanos);
        if (list.startMillis() != incarnation.startMillis()) {
            successors.found(incarnation, list.startMillis(), nowNanos);
            gate.requireList();
            return;
        }
        listCalls.answered(nowNanos);
        lease.observeClock(list.clockMillis(), nowNanos);
        if (fence.covers(sentNanos) && fence.confirm()) {
            lease.assumeLongest(list.clockMillis());
            events.fenceInPlace(incarnation, fence);
        }
        events.listed(list, acknowledgedEnd, sentNanos, lease.describe(incarnation, nowNanos), nowNanos);
        Set<RunRef> listedRuns = applyRunning(list.running(), sentNanos, nowNanos);
        applyEnded(list.ended(), nowNanos);
        control.endAbsentRuns(listedRuns, sentNanos, nowNanos);
    }

    /** Returns a run that is not at an earlier worker; those of two workers can have the same number. */
    private Optional<TrackedRun> findHere(RunRef ref) {
        return runs.find(ref).filter(run -> !run.isAtOtherWorker(worker.incarnation()));
    }

    private Set<RunRef> applyRunning(List<RunList.Running> running, long sentNanos, long nowNanos) {
        WorkerIncarnation incarnation = worker.incarnation();
        Set<RunRef> listedRuns = new HashSet<>();
        int foreign = 0;
        for (RunList.Running row : running) {
            listedRuns.add(row.ref());
            Optional<TrackedRun> held = findHere(row.ref());
            if (held.isEmpty()) {
                foreign++;
                output.stop(incarnation, row.ref(), fence.token());
                continue;
            }
            if (!held.get().isAt(incarnation)) {
                held.get().foundAt(incarnation);
                control.sendStop(held.get(), nowNanos);
            }
            held.get()
                    .updateProgress(row.percent(), row.checkpoint(), nowNanos)
                    .ifPresent(ratio -> observeSlowdown(held.get(), ratio, nowNanos));
            if (held.get().state() == RunState.STARTING) {
                held.get().transitionTo(RunState.RUNNING, nowNanos);
            }
        }
        boolean clean = foreign == 0 && (gate.noForeignRuns() || fence.covers(sentNanos));
        if (gate.noForeignRuns() != clean) {
            output.logEvent("worker-clean", "worker=" + incarnation + " foreign=" + foreign);
            gate.setNoForeignRuns(clean);
        }
        if (clean) {
            earlierWorkers.currentIsClean();
        }
        return listedRuns;
    }

    /** Records a sample of the slowdown, unless the run was ordered while the worker was cold. */
    private void observeSlowdown(TrackedRun run, double ratio, long nowNanos) {
        if (!lifecycle.wasColdAt(run.orderedNanos())) {
            slowdown.observe(ratio, nowNanos);
        }
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
                run.get().slowdownAtEnd(nowNanos).ifPresent(ratio -> observeSlowdown(run.get(), ratio, nowNanos));
            }
            health.recordEnd(run.get(), row.outcome(), nowNanos);
            control.end(run.get(), row.outcome(), RunEndEvidence.LISTED, row.checkpoint(), nowNanos);
        }
    }

    /**
     * Handles the failure of a list that was requested from the current worker.
     *
     * @return whether the next list may be requested at once
     */
    boolean failed(long sentNanos, RunListFailure failure, long nowNanos) {
        listCalls.ended(sentNanos);
        switch (failure) {
            case FENCED -> {
                fenceControl.listRefused(sentNanos, nowNanos);
                gate.requireList();
            }
            case OTHER_LIFE -> gate.markEnded();
            case UNREACHABLE -> gate.markUnresponsive();
            default -> {
                if (listCalls.lost(nowNanos)) {
                    events.workerSilent(worker.incarnation());
                }
                // A worker that fails each call at once is asked again only at the next tick.
                return !listCalls.unresponsive() && listCalls.mayRetryAtOnce();
            }
        }
        return false;
    }
}
