package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.work.RunRef;

/** Tracks the state of a job at its entry. */
final class TrackedJob {
    /** A job expires at this multiple of its target duration; a result up to then is still useful to the caller. */
    private static final int EXPIRY_TARGET_FACTOR = 3;

    private final JobRequest request;
    private final long arrivalNanos;
    private final double criticalPathMillis;
    private final List<TrackedTask> tasks = new ArrayList<>();
    private final JobHistory history;
    private int startedRuns;
    private boolean answered;
    private int queuedTasks;
    private int runningMilliCores;
    private int waitingMilliCores;
    private QueueLoad load = new QueueLoad();

    /**
     * Creates a job and queues the tasks that wait for no other step.
     *
     * @param criticalPathMillis the length of the critical path, in ms on a worker of median speed
     */
    TrackedJob(JobRequest request, double criticalPathMillis, long arrivalNanos) {
        this.request = request;
        this.criticalPathMillis = criticalPathMillis;
        this.history = new JobHistory(arrivalNanos);
        this.arrivalNanos = arrivalNanos;
        for (int step = 0; step < request.steps().size(); step++) {
            for (int index = 0; index < request.steps().get(step).count(); index++) {
                tasks.add(new TrackedTask(this, step, request.id() + ".0." + step + "." + index));
                waitingMilliCores += request.steps().get(step).need().milliCores();
            }
        }
        queueUnblockedTasks();
    }

    /** Queues the blocked tasks whose preceding steps are all done. */
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

    /** Returns the decisions about the job. */
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

    /** Returns whether a result that is given now is a completion within the target. */
    boolean metTarget(JobResult result, long nowNanos) {
        return result.kind() == JobResult.Kind.COMPLETED && nowNanos - targetNanos() <= 0;
    }

    /** Returns the target completion time, in ns. */
    long targetNanos() {
        return arrivalNanos + targetDurationNanos(request, criticalPathMillis, 1);
    }

    /** Returns the time after which a result is no longer useful to the caller, in ns. */
    long expiryNanos() {
        return expiryNanos(request, criticalPathMillis, arrivalNanos);
    }

    /** Returns the time after which the result of a request that was read at a time is no longer useful, in ns. */
    static long expiryNanos(JobRequest request, double criticalPathMillis, long readNanos) {
        long lastNanos = readNanos + targetDurationNanos(request, criticalPathMillis, EXPIRY_TARGET_FACTOR);
        return lastNanos - request.deadlineNanos() < 0 ? lastNanos : request.deadlineNanos();
    }

    private static long targetDurationNanos(JobRequest request, double criticalPathMillis, int factor) {
        double millis = factor
                * (request.queue().stretch() * criticalPathMillis
                        + request.queue().targetLatencyMillis());
        return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Returns the latest start at which the job can meet its target, in ns. */
    long latestStartNanos() {
        return latestStartNanos(request, criticalPathMillis, arrivalNanos);
    }

    /** Returns the latest start at which the job of a request that was read at a time can meet its target, in ns. */
    static long latestStartNanos(JobRequest request, double criticalPathMillis, long readNanos) {
        long criticalPathNanos = (long) (criticalPathMillis * TimeUnit.MILLISECONDS.toNanos(1));
        return readNanos + targetDurationNanos(request, criticalPathMillis, 1) - criticalPathNanos;
    }

    /** Returns whether a run was ordered that has done work or may have. */
    boolean hasStarted() {
        return startedRuns > 0;
    }

    /** Counts an ordered run. */
    void runOrdered() {
        startedRuns++;
    }

    /** Subtracts a run that certainly did not start. */
    void runRefused() {
        startedRuns--;
    }

    boolean answered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
        load.jobAnswered(runningMilliCores);
    }

    /** Counts this job and its tasks in the load of its queue from now on. */
    void countIn(QueueLoad queueLoad) {
        load = queueLoad;
        load.jobAdded();
        load.runningChanged(runningMilliCores);
        load.queuedTasksChanged(queuedTasks);
        load.queuedWorkChanged(coreMillis(waitingMilliCores));
    }

    /** Returns whether a task waits for capacity. */
    boolean hasQueued() {
        return queuedTasks > 0;
    }

    /** Updates the number of queued tasks and the running cores before a state change. */
    void taskStateChanged(TrackedTask task, TaskState from, TaskState to) {
        int milliCores = task.step().need().milliCores();
        int queued = (to == TaskState.QUEUED ? 1 : 0) - (from == TaskState.QUEUED ? 1 : 0);
        int running = ((to == TaskState.ORDERED ? 1 : 0) - (from == TaskState.ORDERED ? 1 : 0)) * milliCores;
        int waiting = ((waits(to) ? 1 : 0) - (waits(from) ? 1 : 0)) * milliCores;
        queuedTasks += queued;
        runningMilliCores += running;
        waitingMilliCores += waiting;
        load.queuedTasksChanged(queued);
        load.queuedWorkChanged(coreMillis(waiting));
        if (!answered) {
            load.runningChanged(running);
        }
    }

    private static boolean waits(TaskState state) {
        return state == TaskState.QUEUED || state == TaskState.BLOCKED;
    }

    private double coreMillis(int milliCores) {
        return milliCores / 1_000.0 * criticalPathMillis;
    }

    boolean isDone() {
        return tasks.stream().allMatch(task -> task.state() == TaskState.ENDED);
    }

    /** Ends the tasks that no run is ordered of. */
    void endTasksWithoutRun() {
        for (TrackedTask task : tasks) {
            if (task.state() != TaskState.ORDERED) {
                task.markEnded();
            }
        }
    }

    /** Returns the ordered runs by the agents that they were ordered from. */
    Map<Incarnation, List<RunRef>> orderedRuns() {
        Map<Incarnation, List<RunRef>> runs = new LinkedHashMap<>();
        for (TrackedTask task : tasks) {
            if (task.state() == TaskState.ORDERED) {
                runs.computeIfAbsent(task.agent().orElseThrow(), key -> new ArrayList<>())
                        .add(task.ref());
            }
        }
        return runs;
    }

    /** Returns the cores of the tasks with an ordered run. */
    double runningCores() {
        return runningMilliCores / 1_000.0;
    }

    /** Returns the work of the queued and blocked tasks, in core-milliseconds. */
    long queuedCoreMillis() {
        return (long) coreMillis(waitingMilliCores);
    }
}
