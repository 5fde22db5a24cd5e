package org.knapweedmount.core.dispatch;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.core.metric.EventBatch;

/** Logs and counts the decisions of an entry about runs and about jobs that are submitted again. */
final class DispatchEvents {
    private final DispatchOutput output;
    private final EventBatch ordered;

    DispatchEvents(DispatchOutput output) {
        this.output = output;
        this.ordered = new EventBatch("runs-ordered", output::logEvent);
    }

    /** Logs an order, with the number of the link and the ms since the receipt of the report that it is based on. */
    void ordered(WorkerView view, long offer, List<TrackedTask> tasks, long nowNanos) {
        if (tasks.isEmpty()) {
            return;
        }
        String detail = "agent=" + view.agent() + " link=" + view.linkNumber() + " report="
                + TimeUnit.NANOSECONDS.toMillis(nowNanos - view.lastReportNanos()) + " offer=" + offer + " free="
                + view.freeCapacity().milliCores();
        tasks.forEach(task -> ordered.add(detail, "tasks", name(task.ref()), nowNanos));
    }

    /** Writes the collected orders; called at the end of each event and periodically. */
    void flush(long nowNanos) {
        ordered.flush(nowNanos);
    }

    /** Logs the end of a run that was not done. */
    void ended(WorkerView view, RunResult result) {
        if (result.outcome() == RunOutcome.DONE) {
            return;
        }
        output.logEvent(
                "run-ended",
                describe(result.ref()) + " how=" + result.outcome() + " millis=" + result.elapsedMillis() + " agent="
                        + view.agent());
    }

    void lost(WorkerView view, TrackedTask task, LossCause cause) {
        if (cause == LossCause.NEW_LINK) {
            output.count(DispatchCounter.RUNS_LOST_ON_NEW_LINK);
        }
        output.logEvent(
                "run-lost",
                describe(task.ref()) + " agent=" + view.agent() + " cause=" + cause + " link=" + view.linkNumber());
    }

    /** Logs the runs that the agent holds on a new link although the entry has released or stopped them. */
    void outdated(WorkerView view, List<RunRef> runs) {
        output.logEvent(
                "runs-outdated",
                "agent=" + view.agent() + " link=" + view.linkNumber() + " runs="
                        + runs.stream().map(DispatchEvents::name).toList());
    }

    /** Logs that an agent is told again to stop runs whose end it has not reported. */
    void stopRepeated(WorkerView view, List<RunRef> runs) {
        output.count(DispatchCounter.STOPS_REPEATED);
        output.logEvent(
                "stop-repeated",
                "agent=" + view.agent() + " link=" + view.linkNumber() + " runs="
                        + runs.stream().map(DispatchEvents::name).toList());
    }

    void answered(TrackedJob job, JobResult result, long nowNanos) {
        output.logEvent(
                "job-answered",
                "job=" + job.id() + " kind=" + result.kind() + " reason=\"" + result.reason() + "\" millis="
                        + TimeUnit.NANOSECONDS.toMillis(nowNanos - job.arrivalNanos()));
    }

    /** Logs the jobs that another entry owns although this entry holds them. */
    void ownedByPeer(Incarnation peer, JobOwnershipUpdate update, JobTable jobs) {
        List<TrackedJob> heldTwice = update.owned().stream()
                .flatMap(claim -> jobs.find(claim.job()).stream())
                .toList();
        if (heldTwice.isEmpty()) {
            return;
        }
        heldTwice.stream().filter(job -> !job.answered()).forEach(job -> output.count(DispatchCounter.JOBS_HELD_TWICE));
        output.logEvent(
                "jobs-held-twice",
                "entry=" + peer + " unanswered="
                        + heldTwice.stream()
                                .filter(job -> !job.answered())
                                .map(TrackedJob::id)
                                .toList()
                        + " answered="
                        + heldTwice.stream()
                                .filter(TrackedJob::answered)
                                .map(TrackedJob::id)
                                .toList());
    }

    /** Logs that a request waits until other entries have ended its job, or are known not to hold it. */
    void waitsForEntries(String job, Set<Incarnation> holders, Set<Incarnation> unconfirmed) {
        if (holders.isEmpty() && unconfirmed.isEmpty()) {
            return;
        }
        output.count(DispatchCounter.RESUBMISSIONS_WAITED);
        output.logEvent("job-elsewhere", "job=" + job + " entry=" + join(holders) + " unknown=" + join(unconfirmed));
    }

    private static String join(Set<Incarnation> entries) {
        return entries.stream().map(Incarnation::toString).collect(Collectors.joining(","));
    }

    /** Logs that a job of this entry was submitted again; the request waits if the job is answered. */
    void resubmitted(TrackedJob job) {
        if (job.answered()) {
            output.count(DispatchCounter.RESUBMISSIONS_WAITED);
        }
        output.logEvent("job-again", "job=" + job.id() + " answered=" + job.answered());
    }

    /** Logs that a request no longer waits for the end of an earlier submission of its job. */
    void released(String job, String reason) {
        output.logEvent("job-released", "job=" + job + " reason=" + reason);
    }

    private static String describe(RunRef ref) {
        return "task=" + ref.task() + " run=" + ref.run();
    }

    private static String name(RunRef ref) {
        return ref.task() + "#" + ref.run();
    }
}
