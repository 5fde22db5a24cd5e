package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.core.explain.AdmissionTerms;
import org.knapweedmount.core.explain.AdmissionVerdict;
import org.knapweedmount.core.explain.Candidate;
import org.knapweedmount.core.explain.CandidateVerdict;
import org.knapweedmount.core.explain.Explanation;

/**
 * Explains what would be decided about a job now, by the rules that decide about real ones. Nothing is sent, logged or
 * recorded.
 *
 * <p>Load pattern: single jobs of a busy queue are refused or placed unexpectedly, and their lines are beyond the rate
 * limit of the log.
 */
final class DecisionExplainer {
    private final WorkerViews workers;
    private final JobTable jobs;
    private final DurationModel durations;
    private final RunCosts costs;
    private final JobAdmission admission;
    private final Drain drain;
    private final JobOwnership ownership;

    DecisionExplainer(
            WorkerViews workers,
            JobTable jobs,
            DurationModel durations,
            RunCosts costs,
            JobAdmission admission,
            Drain drain,
            JobOwnership ownership) {
        this.workers = workers;
        this.jobs = jobs;
        this.durations = durations;
        this.costs = costs;
        this.admission = admission;
        this.drain = drain;
        this.ownership = ownership;
    }

    Explanation explain(JobRequest request, int waitingRequests, long nowNanos) {
        TrackedJob job = new TrackedJob(request, durations.criticalPathMillis(request), nowNanos);
        int entries = 1 + ownership.peers().size();
        AdmissionTerms terms = admission.terms(job, entries, nowNanos);
        if (drain.refusal(request).isPresent()) {
            terms = terms.withVerdict(AdmissionVerdict.LEAVING);
        }
        String service = request.queue().service();
        List<WorkerView> views = workers.forService(service);
        QueueShares shares = jobs.shares(service, nowNanos);
        List<TrackedTask> tasks = job.tasks().stream()
                .filter(task -> task.state() == TaskState.QUEUED)
                .toList();
        Map<WorkerView, Integer> placed = place(tasks, views, shares, entries, nowNanos);
        List<Candidate> candidates = new ArrayList<>();
        for (WorkerView view : views) {
            candidates.add(candidate(
                    tasks.get(0),
                    view,
                    placed.getOrDefault(view, 0),
                    shares,
                    WorkerSample.of(tasks.get(0), entries),
                    nowNanos));
        }
        int placedTasks = placed.values().stream().mapToInt(Integer::intValue).sum();
        return new Explanation(
                request.queue().name(), service, terms, candidates, tasks.size() - placedTasks, waitingRequests);
    }

    /** Chooses workers for the tasks as {@link TaskPlacer} would, after all tasks that are queued before them. */
    private Map<WorkerView, Integer> place(
            List<TrackedTask> tasks, List<WorkerView> views, QueueShares shares, int entries, long nowNanos) {
        FreeCapacities free = new FreeCapacities(views, nowNanos);
        DataLocality data = new DataLocality(views, costs, shares, entries, nowNanos);
        Map<WorkerView, Integer> placed = new HashMap<>();
        for (TrackedTask task : tasks) {
            Optional<WorkerView> chosen = Placement.choose(task, free, shares, data, entries, nowNanos);
            if (chosen.isPresent()) {
                data.placed(task, chosen.get());
                int count = placed.merge(chosen.get(), 1, Integer::sum);
                // The views must not count these tasks, so a worker at the limit of the step is taken as full.
                boolean atLimit = count >= task.step().maxPerWorker();
                free.take(
                        chosen.get(),
                        atLimit ? free.of(chosen.get()) : task.step().need());
            }
        }
        return placed;
    }

    private static Candidate candidate(
            TrackedTask task, WorkerView worker, int placed, QueueShares shares, WorkerSample sample, long nowNanos) {
        return new Candidate(
                worker.agent().process(),
                verdict(task, worker, shares, nowNanos),
                placed,
                TimeUnit.NANOSECONDS.toMillis(nowNanos - worker.lastReportNanos()),
                worker.freeCapacity(nowNanos),
                shares.withHeadroom(task, worker.report().orElseThrow().capacity()),
                worker.reportedSlowdown(),
                worker.relativeSlowdown(),
                DataLocality.isNear(task, worker),
                worker.isPrompt(),
                sample.contains(worker.agent()));
    }

    /** Returns the first reason against a worker, in the order of {@link Placement#choose}. */
    static CandidateVerdict verdict(TrackedTask task, WorkerView worker, QueueShares shares, long nowNanos) {
        if (!worker.acceptsStarts()) {
            return CandidateVerdict.CLOSED;
        }
        if (worker.isSilent(nowNanos)) {
            return CandidateVerdict.SILENT;
        }
        if (task.step().requires().filter(label -> !worker.hasLabel(label)).isPresent()) {
            return CandidateVerdict.LABEL_MISSING;
        }
        if (!task.step().need().fits(worker.freeCapacity(nowNanos))) {
            return CandidateVerdict.NO_CAPACITY;
        }
        if (!DemandRule.mayOrderWithoutOffer(task, worker, shares)) {
            return CandidateVerdict.OFFER_NEEDED;
        }
        if (!shares.withHeadroom(task, worker.report().orElseThrow().capacity()).fits(worker.freeCapacity(nowNanos))) {
            return CandidateVerdict.NO_HEADROOM;
        }
        return Placement.isSuitable(task, worker, nowNanos) ? CandidateVerdict.SUITABLE : CandidateVerdict.TOO_SLOW;
    }
}
