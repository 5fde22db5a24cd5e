package org.knapweedmount.core.worker;

import java.util.List;

import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.core.worker.health.WorkerLifecycle;

/** Stops runs that make no progress or that their worker leaves too early for, and ends those whose lease has lapsed. */
final class RunDeadlines {
    private final WorkerOutput output;
    private final EntryTable entries;
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
    private final FenceControl fenceControl;
    private final StartGate gate;

    RunDeadlines(WorkerParts parts, StartGate gate) {
        this.output = parts.output();
        this.entries = parts.entries();
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
        this.fenceControl = parts.fenceControl();
        this.gate = gate;
    }

    /** Withdraws the offers that were not answered, and stops the runs of entries whose leases are about to expire. */
    void stopExpired(long timestampMillis, long nowNanos) {
        entries.byEntry().forEach((entry, entryView) -> {
            entryView.expireOffer(nowNanos);
            if (entryView.mustStopRuns(timestampMillis, nowNanos)) {
                runs.of(entry).forEach(run -> control.stop(run, nowNanos));
            }
        });
    }

    /** Stops the runs that cannot end before the worker leaves, so that their entries start them elsewhere. */
    void stopBeforeDeparture(long nowNanos) {
        double factor = slowdown.estimate(nowNanos);
        for (TrackedRun run : runs.matching(run -> !run.state().ending() && run.isAt(worker.incarnation()))) {
            WorkerLifecycle.Progress progress =
                    new WorkerLifecycle.Progress(run.request().expectedMillis(), run.percent(), run.progressNanos());
            if (lifecycle.endsBefore(progress, factor, nowNanos)) {
                events.stoppedBeforeDeparture(run, worker.incarnation());
                control.stop(run, nowNanos);
            }
        }
    }

    /** Stops the runs that make no progress, which closes the worker for its health. */
    void stopStalled(long nowNanos) {
        for (TrackedRun run : runs.stalled(worker.incarnation(), nowNanos)) {
            events.stalled(run, worker.incarnation());
            health.recordStall(run, nowNanos);
            control.stop(run, nowNanos);
        }
    }

    /** Ends all runs of a worker that does not answer once its clock must have passed its last lease expiry. */
    void endLapsed(long nowNanos) {
        List<TrackedRun> left = runs.matching(run -> !run.isAtOtherWorker(worker.incarnation()));
        boolean silent = listCalls.unresponsive() || worker.displaced();
        if (!silent || left.isEmpty() || !fence.inPlace() || !lease.hasLapsed(nowNanos)) {
            return;
        }
        output.logEvent("worker-lapsed", "worker=" + worker.incarnation() + " runs=" + runs.size());
        // An unanswered start may still be executed, and a later extension of the worker's lease would apply to it.
        fenceControl.raise("runs-lapsed", nowNanos);
        gate.requireList();
        left.forEach(run -> control.end(run, RunOutcome.LAPSED, RunEndEvidence.CLOCK, "", nowNanos));
    }
}
