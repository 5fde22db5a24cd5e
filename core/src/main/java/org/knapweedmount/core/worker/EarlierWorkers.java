package org.knapweedmount.core.worker;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;

/**
 * The workers before the current one that had another ID. They may still work, because a replacement may start first:
 * nothing that it answers says anything about their runs.
 *
 * <p>Their leases are extended no more. Their runs end by their own answers or once their leases must have expired.
 */
final class EarlierWorkers {
    private final WorkerOutput output;
    private final RunTable runs;
    private final RunControl control;
    private final WorkerFence fence;
    private final long agentStartNanos;
    private OptionalLong runsEndNanos = OptionalLong.empty();
    private OptionalLong foreignRunsEndNanos = OptionalLong.empty();
    private boolean foreignRunsPossible;

    /**
     * Creates a record without earlier workers.
     *
     * @param agentStartNanos when the agent's process started, by which its earlier incarnations had ended, in ns
     */
    EarlierWorkers(WorkerOutput output, RunTable runs, RunControl control, WorkerFence fence, long agentStartNanos) {
        this.output = output;
        this.runs = runs;
        this.control = control;
        this.fence = fence;
        this.agentStartNanos = agentStartNanos;
    }

    /**
     * Begins with the first worker that the agent knows. An earlier incarnation of the agent may have given orders to
     * another worker before it; the clock of this one begins at any value and does not show how long it has been alone.
     */
    void firstWorker() {
        foreignRunsPossible = true;
        foreignRunsEndNanos =
                OptionalLong.of(agentStartNanos + WorkerTimings.nanos(WorkerTimings.MAX_WORKER_RUN_END_MILLIS));
    }

    /** Begins with another incarnation of the current worker, which shows that the earlier one has ended. */
    void sameWorker() {
        foreignRunsPossible = true;
    }

    /**
     * Begins with a worker that has another ID.
     *
     * @param lapseNanos when the lease that the agent has granted to the earlier one must have expired, in ns
     */
    void otherWorker(long lapseNanos, long nowNanos) {
        long latestNanos = nowNanos + WorkerTimings.nanos(WorkerTimings.MAX_WORKER_RUN_END_MILLIS);
        if (foreignRunsPossible) {
            foreignRunsEndNanos = later(foreignRunsEndNanos, latestNanos);
        }
        runsEndNanos = later(runsEndNanos, foreignRunsPossible ? latestNanos : lapseNanos);
        foreignRunsPossible = true;
    }

    private static OptionalLong later(OptionalLong known, long nanos) {
        return known.isPresent() && known.getAsLong() - nanos > 0 ? known : OptionalLong.of(nanos);
    }

    /** Records that the current worker has received orders of another process. */
    void othersGaveOrders() {
        foreignRunsPossible = true;
    }

    /** Records that the current worker has no runs of others and accepts no orders of theirs. */
    void currentIsClean() {
        foreignRunsPossible = false;
    }

    /** Returns whether no run that this incarnation of the agent has not ordered can be left on an earlier worker. */
    boolean foreignRunsEnded(long nowNanos) {
        return foreignRunsEndNanos.isEmpty() || nowNanos - foreignRunsEndNanos.getAsLong() >= 0;
    }

    /** Ends the runs whose leases must have expired, and asks for lists of the others. */
    void tick(WorkerIncarnation current, long nowNanos) {
        List<TrackedRun> left = runs.matching(run -> run.isAtOtherWorker(current));
        if (runsEndNanos.isPresent() && nowNanos - runsEndNanos.getAsLong() >= 0) {
            left.forEach(run -> control.end(run, RunOutcome.LAPSED, RunEndEvidence.CLOCK, "", nowNanos));
            return;
        }
        Set<WorkerIncarnation> asked = new HashSet<>();
        for (TrackedRun run : left) {
            if (asked.add(run.incarnation())) {
                output.list(run.incarnation(), fence.token(run.incarnation()), 0, 0, nowNanos, 0);
            }
        }
    }

    /** Handles the reply of an earlier worker to a start order: a run that did not start needs no wait. */
    void startAnswered(TrackedRun run, StartReply reply, long nowNanos) {
        switch (reply) {
            case STARTED -> {
                // The run ends by a list or by its lease.
            }
            case UNANSWERED -> control.stop(run, nowNanos);
            case OUTDATED -> control.end(run, RunOutcome.OUTDATED, RunEndEvidence.START_REPLY, "", nowNanos);
            default -> control.end(run, RunOutcome.REFUSED, RunEndEvidence.START_REPLY, "", nowNanos);
        }
    }

    /** Handles a list of an earlier worker; incarnations of the current one end by its own lists. */
    void listAnswered(
            WorkerIncarnation current, WorkerIncarnation incarnation, long sentNanos, RunList list, long nowNanos) {
        boolean sameWorker = incarnation.id().equals(current.id());
        if (sameWorker || list.startMillis() != incarnation.startMillis()) {
            return;
        }
        for (RunList.Ended row : list.ended()) {
            runs.find(row.ref())
                    .filter(run -> run.isAt(incarnation))
                    .ifPresent(
                            run -> control.end(run, row.outcome(), RunEndEvidence.LISTED, row.checkpoint(), nowNanos));
        }
        Set<RunRef> running = new HashSet<>();
        list.running().forEach(row -> running.add(row.ref()));
        for (TrackedRun run : runs.matching(run -> run.isAt(incarnation) && run.state() == RunState.STOPPED)) {
            if (!running.contains(run.ref()) && run.stateNanos() - sentNanos <= 0) {
                control.end(run, RunOutcome.STOPPED, RunEndEvidence.ABSENT, "", nowNanos);
            }
        }
    }
}
