package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A job at its entry. */
final class TrackedJob {
    /** A job that ends within this multiple of its aim still is of use to its caller. */
    private static final int EXPIRY_TARGET_FACTOR = 3;

    private final JobRequest request;
    private final long arrivalNanos;
    private final double criticalPathMillis;
    private final List<TrackedTask> tasks = new ArrayList<>();
    private final JobHistory history;
    private int startedRuns;
    private boolean answered;
    private int queuedTasks;

    /**
     * Creates a job none of whose tasks is queued.
     *
     * @param chainMillis the longest chain of work, in ms on an ordinary worker
     */
    TrackedJob(JobRequest request, double chainMillis, long arrivalNanos) {
        this.request = request;
        this.criticalPathMillis = chainMillis;
        this.history = new JobHistory(arrivalNanos);
        this.arrivalNanos = arrivalNanos;
        for (int step = 0; step < request.steps().size(); step++) {
            for (int index = 0; index < request.steps().get(step).count(); index++) {
                tasks.add(new TrackedTask(this, step, request.id() + ".0." + step + "." + index));
            }
        }
        queueUnblockedTasks();
    }

    /** Queues the tasks whose earlier steps are all done. */
    void queueUnblockedTasks() {
        for (TrackedTask task : tasks) {
            if (task.state() == TaskState.BLOCKED
                    && task.step().after().stream().allMatch(this::isStepDone)) {
                task.markQueued();
            }
        }
    }

    private boolean isStepDone(int step) {
        return tasks.stream().noneMatch(task -> task.stepNumber() == step && task.state() != TaskState.ENDED);
    }

    /** Returns what was decided about the job. */
    JobHistory history() {
        return history;
    }

    JobRequest request() {
        return request;
    }

    String id() {
        return request.id();
    }

    List<TrackedTask> tasks() {
        return tasks;
    }

    long arrivalNanos() {
        return arrivalNanos;
    }

    double criticalPathMillis() {
        return criticalPathMillis;
    }

    /** Tells whether an answer now is what the caller hoped for. */
    boolean metTarget(JobResult result, long nowNanos) {
        return result.kind() == JobResult.Kind.COMPLETED && nowNanos - targetNanos() <= 0;
    }

    /** Returns when the job should be done, in ns. */
    long targetNanos() {
        return arrivalNanos + targetDurationNanos(1);
    }

    /** Returns after when the job is of no use to its caller, in ns. */
    long expiryNanos() {
        return Math.min(arrivalNanos + targetDurationNanos(EXPIRY_TARGET_FACTOR), request.deadlineNanos());
    }

    private long targetDurationNanos(int factor) {
        double millis = factor
                * (request.queue().stretch() * criticalPathMillis
                        + request.queue().targetLatencyMillis());
        return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Returns when the last task has to start for the job to be done in time, in ns. */
    long latestStartNanos() {
        return targetNanos() - (long) (criticalPathMillis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Tells whether a run was ordered that has done work, or may have. */
    boolean hasStarted() {
        return startedRuns > 0;
    }

    /** Counts a run that was ordered. */
    void runOrdered() {
        startedRuns++;
    }

    /** Counts off a run that certainly did not start. */
    void runRefused() {
        startedRuns--;
    }

    boolean answered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Tells whether a task waits for room. */
    boolean hasQueued() {
        return queuedTasks > 0;
    }

    /** Counts a task that came into a state or left it. */
    void taskStateChanged(TaskState from, TaskState to) {
        queuedTasks += (to == TaskState.QUEUED ? 1 : 0) - (from == TaskState.QUEUED ? 1 : 0);
    }

    boolean isDone() {
        return tasks.stream().allMatch(task -> task.state() == TaskState.ENDED);
    }

    /** Returns the cores of the tasks that are ordered. */
    double runningCores() {
        double sum = 0;
        for (TrackedTask task : tasks) {
            sum += task.state() == TaskState.ORDERED ? task.step().need().milliCores() / 1_000.0 : 0;
        }
        return sum;
    }

    /** Returns the work of the tasks that wait, in milliseconds of a core. */
    long queuedCoreMillis() {
        double sum = 0;
        for (TrackedTask task : tasks) {
            if (task.state() == TaskState.QUEUED || task.state() == TaskState.BLOCKED) {
                sum += task.step().need().milliCores() / 1_000.0 * criticalPathMillis;
            }
        }
        return (long) sum;
    }
}
