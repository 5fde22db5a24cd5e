package org.knapweedmount.core.dispatch;

import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.api.work.WorkQueue;

/** Applies the results of runs to their tasks and jobs. */
final class RunResults {
    private final WorkerViews workers;
    private final DurationModel durations;
    private final RunCosts costs;
    private final DispatchEvents events;
    private final JobEnd answer;
    private final EndedTask remove;

    /** Answers a job. */
    @FunctionalInterface
    interface JobEnd {
        /** Answers a job with its final result. */
        void conclude(TrackedJob job, JobResult result, long nowNanos);
    }

    /** Follows up the end of a task of an answered job. */
    @FunctionalInterface
    interface EndedTask {
        /** Forgets a job if no run of it is left. */
        void removeIfDone(TrackedJob job, long nowNanos);
    }

    RunResults(
            WorkerViews workers,
            DurationModel durations,
            RunCosts costs,
            DispatchEvents events,
            JobEnd answer,
            EndedTask remove) {
        this.workers = workers;
        this.durations = durations;
        this.costs = costs;
        this.events = events;
        this.answer = answer;
        this.remove = remove;
    }

    /** Applies a result that an agent has sent; one of an earlier run of the task changes nothing. */
    void apply(WorkerView view, RunResult result, long nowNanos) {
        TrackedTask task = view.orderedTasks().get(result.ref().task());
        if (task == null || !task.ref().equals(result.ref())) {
            return;
        }
        view.orderedTasks().remove(task.name());
        task.updateCheckpoint(result.checkpoint());
        task.recordDecision(result.outcome() + " after " + result.elapsedMillis() + "ms", nowNanos);
        events.ended(view, result, nowNanos);
        if (!result.outcome().mayHaveRun()) {
            task.job().runRefused();
        }
        if (task.job().answered()) {
            task.markEnded();
            remove.removeIfDone(task.job(), nowNanos);
            return;
        }
        switch (result.outcome()) {
            case DONE -> completeTask(view, task, result, nowNanos);
            case FAILED -> {
                view.runFailed(nowNanos);
                recordFailure(task, nowNanos);
            }
            case OUTDATED -> task.skipOutdatedRunNumbers();
            default -> {
                // The outcome says nothing about the task.
            }
        }
        if (task.state() == TaskState.ORDERED) {
            String service = task.job().request().queue().service();
            if (result.outcome().mayHaveRun() && workers.hasOtherAcceptingStarts(view, service)) {
                task.avoidCurrentAgent();
            }
            task.markQueued();
        }
    }

    private void completeTask(WorkerView view, TrackedTask task, RunResult result, long nowNanos) {
        String queue = task.job().request().queue().name();
        int estimate = task.step().estimateMillis();
        if (!view.wasColdAt(nowNanos - TimeUnit.MILLISECONDS.toNanos(result.elapsedMillis()))) {
            double factor = view.relativeSlowdown() * costs.dataFactor(task, view);
            durations.observe(queue, estimate, result.elapsedMillis() / factor);
        }
        task.markEnded();
        task.job().queueUnblockedTasks();
        if (task.job().isDone()) {
            answer.conclude(task.job(), JobResult.completed(), nowNanos);
        }
    }

    private void recordFailure(TrackedTask task, long nowNanos) {
        task.recordFailure();
        WorkQueue queue = task.job().request().queue();
        if (task.failures() >= queue.maxAttempts()) {
            task.markEnded();
            answer.conclude(task.job(), JobResult.failed("a task failed " + task.failures() + " times"), nowNanos);
        }
    }
}
