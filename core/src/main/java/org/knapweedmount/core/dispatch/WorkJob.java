package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A job at its entry. */
final class WorkJob {
    /** A job that ends within this multiple of its aim still is of use to its caller. */
    private static final int LATE_FACTOR = 3;

    private final JobRequest request;
    private final long arrivalNanos;
    private final double chainMillis;
    private final List<WorkTask> tasks = new ArrayList<>();
    private final JobTrail trail;
    private int startedRuns;
    private boolean answered;
    private int queuedTasks;

    /**
     * Creates a job none of whose tasks is queued.
     *
     * @param chainMillis the longest chain of work, in ms on an ordinary worker
     */
    WorkJob(JobRequest request, double chainMillis, long arrivalNanos) {
        this.request = request;
        this.chainMillis = chainMillis;
        this.trail = new JobTrail(arrivalNanos);
        this.arrivalNanos = arrivalNanos;
        for (int step = 0; step < request.steps().size(); step++) {
            for (int index = 0; index < request.steps().get(step).count(); index++) {
                tasks.add(new WorkTask(this, step, request.id() + ".0." + step + "." + index));
            }
        }
        release();
    }

    /** Queues the tasks whose earlier steps are all done. */
    void release() {
        for (WorkTask task : tasks) {
            if (task.state() == TaskState.BLOCKED
                    && task.step().after().stream().allMatch(this::stepDone)) {
                task.queue();
            }
        }
    }

    private boolean stepDone(int step) {
        return tasks.stream().noneMatch(task -> task.stepNumber() == step && task.state() != TaskState.ENDED);
    }

    /** Returns what was decided about the job. */
    JobTrail trail() {
        return trail;
    }

    JobRequest request() {
        return request;
    }

    String id() {
        return request.id();
    }

    List<WorkTask> tasks() {
        return tasks;
    }

    long arrivalNanos() {
        return arrivalNanos;
    }

    double chainMillis() {
        return chainMillis;
    }

    /** Tells whether an answer now is what the caller hoped for. */
    boolean isWell(JobResult verdict, long nowNanos) {
        return verdict.kind() == JobResult.Kind.COMPLETED && nowNanos - aimNanos() <= 0;
    }

    /** Returns when the job should be done, in ns. */
    long aimNanos() {
        return arrivalNanos + aimMillis(1);
    }

    /** Returns after when the job is of no use to its caller, in ns. */
    long uselessNanos() {
        return Math.min(arrivalNanos + aimMillis(LATE_FACTOR), request.deadlineNanos());
    }

    private long aimMillis(int factor) {
        double millis = factor
                * (request.queue().stretch() * chainMillis + request.queue().targetLatencyMillis());
        return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Returns when the last task has to start for the job to be done in time, in ns. */
    long latestStartNanos() {
        return aimNanos() - (long) (chainMillis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Tells whether a run was ordered that has done work, or may have. */
    boolean begun() {
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

    void answer() {
        answered = true;
    }

    /** Tells whether a task waits for room. */
    boolean hasQueued() {
        return queuedTasks > 0;
    }

    /** Counts a task that came into a state or left it. */
    void moved(TaskState from, TaskState to) {
        queuedTasks += (to == TaskState.QUEUED ? 1 : 0) - (from == TaskState.QUEUED ? 1 : 0);
    }

    boolean done() {
        return tasks.stream().allMatch(task -> task.state() == TaskState.ENDED);
    }

    /** Returns the cores of the tasks that are ordered. */
    double runningCores() {
        double sum = 0;
        for (WorkTask task : tasks) {
            sum += task.state() == TaskState.ORDERED ? task.step().need().milliCores() / 1_000.0 : 0;
        }
        return sum;
    }

    /** Returns the work of the tasks that wait, in milliseconds of a core. */
    long queuedWork() {
        double sum = 0;
        for (WorkTask task : tasks) {
            if (task.state() == TaskState.QUEUED || task.state() == TaskState.BLOCKED) {
                sum += task.step().need().milliCores() / 1_000.0 * chainMillis;
            }
        }
        return (long) sum;
    }
}
