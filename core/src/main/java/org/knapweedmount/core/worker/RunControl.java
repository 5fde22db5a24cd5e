package org.knapweedmount.core.worker;

import java.util.Set;

import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.core.worker.interference.PairChange;

/** Stops and ends the runs of a worker, and extends their common lease. */
final class RunControl {
    private final WorkerOutput output;
    private final RunTable runs;
    private final EntryTable entries;
    private final CurrentWorker worker;
    private final WorkerLease lease;
    private final WorkerFence fence;
    private final RunEvents events;

    RunControl(
            WorkerOutput output,
            RunTable runs,
            EntryTable entries,
            CurrentWorker worker,
            WorkerLease lease,
            WorkerFence fence,
            RunEvents events) {
        this.output = output;
        this.runs = runs;
        this.entries = entries;
        this.worker = worker;
        this.lease = lease;
        this.fence = fence;
        this.events = events;
    }

    /** Orders the worker to stop a run, unless that has been done. */
    void stop(TrackedRun run, long nowNanos) {
        if (!run.state().ending()) {
            sendStop(run, nowNanos);
        }
    }

    /** Orders the worker to stop a run, again if need be. */
    void sendStop(TrackedRun run, long nowNanos) {
        run.transitionTo(RunState.STOPPING, nowNanos);
        WorkerIncarnation current = worker.incarnation();
        WorkerIncarnation target = run.isAtOtherWorker(current) ? run.incarnation() : current;
        output.stop(target, run.ref(), fence.token(target));
    }

    /** Repeats the stop orders that have not been confirmed for some time. */
    void retryStops(long nowNanos) {
        long dueNanos = nowNanos - WorkerTimings.nanos(WorkerTimings.STOP_RETRY_INTERVAL_MILLIS);
        for (TrackedRun run : runs.matching(run -> run.state() == RunState.STOPPING)) {
            if (run.stateNanos() - dueNanos <= 0) {
                sendStop(run, nowNanos);
            }
        }
    }

    /** Removes a run that has ended or will never start, and records the result for its entry. */
    void end(TrackedRun run, RunOutcome outcome, RunEndEvidence evidence, String checkpoint, long nowNanos) {
        runs.remove(run.ref());
        runs.interference().ended(run.ref(), outcome == RunOutcome.DONE, nowNanos);
        for (PairChange change : runs.interference().takeChanges()) {
            output.count(change.found() ? RunCounter.PAIRS_FOUND : RunCounter.PAIRS_FORGOTTEN);
            output.logEvent(change.event(), change.detail());
        }
        events.released(run, outcome, evidence, lease.describe(worker.incarnation(), nowNanos), nowNanos);
        int elapsedMillis = (int) WorkerTimings.millis(nowNanos - run.orderedNanos());
        entries.addResult(run.entry(), new RunResult(run.ref(), outcome, elapsedMillis, checkpoint));
    }

    /** Ends or stops runs that a list requested after their last state change would contain if the worker had them. */
    void endAbsentRuns(Set<RunRef> listedRuns, long sentNanos, long nowNanos) {
        WorkerIncarnation current = worker.incarnation();
        for (TrackedRun run : runs.matching(run -> !listedRuns.contains(run.ref()) && !run.isAtOtherWorker(current))) {
            if (run.isAt(current)) {
                handleAbsence(run, sentNanos, nowNanos);
            } else if (fence.covers(sentNanos)) {
                end(run, RunOutcome.LAPSED, RunEndEvidence.NEW_INCARNATION, "", nowNanos);
            }
        }
    }

    private void handleAbsence(TrackedRun run, long sentNanos, long nowNanos) {
        if (run.stateNanos() - sentNanos > 0) {
            return;
        }
        if (run.state() == RunState.STOPPED) {
            end(run, RunOutcome.STOPPED, RunEndEvidence.ABSENT, run.checkpoint(), nowNanos);
        } else if (run.state() == RunState.RUNNING && run.countAbsence() >= WorkerTimings.MAX_ABSENT_LISTS) {
            output.logEvent("run-missing", RunEvents.describe(run.ref()) + " worker=" + worker.incarnation());
            stop(run, nowNanos);
        }
    }

    /** Returns whether the current worker, also in an earlier incarnation, has runs. */
    boolean hasRunsAtCurrentWorker() {
        return runs.any(run -> !run.isAtOtherWorker(worker.incarnation()));
    }

    /**
     * Extends the worker's lease to the earliest lease expiry of entries with runs there.
     *
     * @return the expiry by the worker's clock, in ms
     */
    long extendLease(long nowNanos) {
        long earliestMillis = Long.MAX_VALUE;
        for (TrackedRun run : runs.matching(run -> !run.isAtOtherWorker(worker.incarnation()))) {
            earliestMillis = Math.min(earliestMillis, entries.of(run.entry()).expiryMillis());
        }
        return lease.grant(earliestMillis, nowNanos);
    }
}
