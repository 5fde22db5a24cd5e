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
import org.knapweedmount.core.metric.MillisHistogram;

/** Logs and counts the decisions of an entry about runs and about jobs that are submitted again. */
final class DispatchEvents {
    private final DispatchOutput output;
    private final EventBatch ordered;
    private final EventBatch ended;
    private final EventBatch lost;
    private final EventBatch admitted;
    private final EventBatch elsewhere;
    private final EventBatch again;
    private final EventBatch released;
    private final EventBatch readAfterStall;
    private final EventBatch refused;
    private final MembershipLog entries;
    private final AdmissionWaits waits = new AdmissionWaits();

    DispatchEvents(DispatchOutput output) {
        this.output = output;
        this.ordered = new EventBatch("runs-ordered", output::logEvent);
        this.ended = new EventBatch("run-ended", output::logEvent);
        this.lost = new EventBatch("run-lost", output::logEvent);
        this.admitted = new EventBatch("jobs-admitted", output::logEvent);
        this.elsewhere = new EventBatch("job-elsewhere", output::logEvent);
        this.again = new EventBatch("job-again", output::logEvent);
        this.released = new EventBatch("job-released", output::logEvent);
        this.readAfterStall = new EventBatch("job-read-after-stall", output::logEvent);
        this.refused = new EventBatch("jobs-refused", output::logEvent);
        this.entries = new MembershipLog(output);
    }

    /** Logs a request that is refused because it has waited too long for the processor of this entry. */
    void refusedForLag(WaitingRequest read, long nowNanos) {
        String detail = "reason=entry-behind queue=" + read.request().queue().name() + " lag-millis="
                + TimeUnit.NANOSECONDS.toMillis(nowNanos - read.readNanos());
        refused.add(detail, "jobs", read.request().id(), nowNanos);
    }

    /** Returns what this entry knows of the other entries. */
    MembershipLog entries() {
        return entries;
    }

    /** Logs an order, with the number of the link and the ms since the receipt of the report that it is based on. */
    void ordered(WorkerView view, long offer, List<TrackedTask> tasks, long nowNanos) {
        if (tasks.isEmpty()) {
            return;
        }
        String detail = "agent=" + view.agent() + " link=" + view.linkNumber() + " report="
                + TimeUnit.NANOSECONDS.toMillis(nowNanos - view.lastReportNanos()) + " offer=" + offer + " free="
                + view.freeCapacity(nowNanos).milliCores();
        tasks.forEach(task -> ordered.add(detail, "tasks", name(task.ref()), nowNanos));
    }

    /** Returns how long requests waited before their jobs were admitted; any thread may read it. */
    MillisHistogram<WaitReason> waitLatencies() {
        return waits.latencies();
    }

    /** Writes the collected lines; called at the end of each event and periodically. */
    void flush(long nowNanos) {
        entries.started(nowNanos);
        // In the order of the decisions, as far as batches of several events can tell it.
        readAfterStall.flush(nowNanos);
        refused.flush(nowNanos);
        again.flush(nowNanos);
        elsewhere.flush(nowNanos);
        released.flush(nowNanos);
        admitted.flush(nowNanos);
        ordered.flush(nowNanos);
        ended.flush(nowNanos);
        lost.flush(nowNanos);
    }

    /** Logs the end of a run that was not done. */
    void ended(WorkerView view, RunResult result, long nowNanos) {
        if (result.outcome() == RunOutcome.DONE) {
            return;
        }
        String detail = "how=" + result.outcome() + " millis=" + result.elapsedMillis() + " agent=" + view.agent();
        ended.add(detail, "runs", name(result.ref()), nowNanos);
    }

    void lost(WorkerView view, TrackedTask task, LossCause cause, long nowNanos) {
        if (cause == LossCause.NEW_LINK) {
            output.count(DispatchCounter.RUNS_LOST_ON_NEW_LINK);
        }
        String detail = "agent=" + view.agent() + " cause=" + cause + " link=" + view.linkNumber();
        lost.add(detail, "runs", name(task.ref()), nowNanos);
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

    /** Logs that a request is held because this entry stood still or has just started. */
    void held(String job, WaitReason reason, long nowNanos) {
        waits.begin(job, reason, nowNanos);
        readAfterStall.add("reason=" + reason, "jobs", job, nowNanos);
    }

    /** Logs that a request is no longer held because this entry stood still or has just started. */
    void submitted(String job, long nowNanos) {
        waits.submitted(job, nowNanos).ifPresent(wait -> addReleased(wait, "settled", nowNanos));
    }

    /** Logs that a request waits until other entries have ended its job, or are known not to hold it. */
    void waitsForEntries(String job, Set<Incarnation> holders, Set<Incarnation> unconfirmed, long nowNanos) {
        if (holders.isEmpty() && unconfirmed.isEmpty()) {
            return;
        }
        boolean allLinked = holders.stream().allMatch(entries::isLinked)
                && unconfirmed.stream().allMatch(entries::isLinked);
        waits.begin(job, allLinked ? WaitReason.LINKED_ENTRY : WaitReason.UNLINKED_ENTRY, nowNanos);
        output.count(DispatchCounter.RESUBMISSIONS_WAITED);
        elsewhere.add("entry=" + join(holders) + " unknown=" + join(unconfirmed), "jobs", job, nowNanos);
    }

    private static String join(Set<Incarnation> entries) {
        return entries.stream().sorted().map(Incarnation::toString).collect(Collectors.joining(","));
    }

    /** Logs that a job of this entry was submitted again; the request waits if the job is answered. */
    void resubmitted(TrackedJob job, long nowNanos) {
        if (job.answered()) {
            waits.begin(job.id(), WaitReason.EARLIER_RUNS, nowNanos);
            output.count(DispatchCounter.RESUBMISSIONS_WAITED);
        }
        again.add("answered=" + job.answered(), "jobs", job.id(), nowNanos);
    }

    /** Logs that a request no longer waits for the end of an earlier submission of its job. */
    void released(String job, String reason, long nowNanos) {
        waits.end(job, nowNanos)
                .ifPresentOrElse(
                        wait -> addReleased(wait, reason, nowNanos),
                        () -> released.add("reason=" + quote(reason), "jobs", job, nowNanos));
    }

    private void addReleased(AdmissionWaits.Ended wait, String reason, long nowNanos) {
        String detail = "reason=" + quote(reason) + " waited-for=" + wait.reason() + " millis=" + wait.millis();
        released.add(detail, "jobs", wait.job(), nowNanos);
    }

    /** Logs that a job is admitted, with all that this entry knew of other entries and what its request waited for. */
    void admitted(String job, long submittedNanos, long nowNanos) {
        String waited = waits.admitted(job)
                .map(wait -> wait.reason() + " waited=" + wait.millis())
                .orElse("NOTHING waited=0");
        String detail = "up=" + entries.uptimeMillis(nowNanos) + " " + entries.summary() + " submitted="
                + TimeUnit.NANOSECONDS.toMillis(nowNanos - submittedNanos) + " waited-for=" + waited;
        admitted.add(detail, "jobs", job, nowNanos);
    }

    private static String quote(String text) {
        return text.indexOf(' ') < 0 ? text : "\"" + text + "\"";
    }

    private static String name(RunRef ref) {
        return ref.task() + "#" + ref.run();
    }
}
