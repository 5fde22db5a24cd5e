package org.knapweedmount.core.dispatch;

import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.work.RunRef;

/** One task of a job at its entry. */
final class TrackedTask {
    private static final int PERCENT = 100;

    private final TrackedJob job;
    private final int stepNumber;
    private final String name;
    private TaskState state = TaskState.BLOCKED;
    private int runNumber;
    private int failures;
    private Optional<Incarnation> agent = Optional.empty();
    private Optional<Incarnation> avoidedAgent = Optional.empty();
    private String checkpoint = "";

    TrackedTask(TrackedJob job, int stepNumber, String name) {
        this.job = job;
        this.stepNumber = stepNumber;
        this.name = name;
    }

    TrackedJob job() {
        return job;
    }

    int stepNumber() {
        return stepNumber;
    }

    JobStep step() {
        return job.request().steps().get(stepNumber);
    }

    String name() {
        return name;
    }

    /** Adds to the job's trail what was decided about the present run, named by its step, its task and its number. */
    void recordDecision(String decision, long nowNanos) {
        String shortName = name.substring(name.indexOf('.', job.id().length() + 1) + 1) + "#" + runNumber;
        job.history().add(shortName + " " + decision, nowNanos);
    }

    void recordOrder(WorkerView view, long nowNanos) {
        recordDecision(
                "ordered at " + view.agent().process() + " pace " + (int) (PERCENT * view.relativeSlowdown()) + "%",
                nowNanos);
    }

    TaskState state() {
        return state;
    }

    RunRef ref() {
        return new RunRef(name, runNumber);
    }

    /** Returns the agent of the worker that the present run was ordered from, empty if there is no run. */
    Optional<Incarnation> agent() {
        return agent;
    }

    /** Returns the agent whose worker ran the task in vain last. */
    Optional<Incarnation> avoidedAgent() {
        return avoidedAgent;
    }

    String checkpoint() {
        return checkpoint;
    }

    int failures() {
        return failures;
    }

    void markOrdered(Incarnation receiver) {
        runNumber++;
        agent = Optional.of(receiver);
        transitionTo(TaskState.ORDERED);
    }

    void markQueued() {
        agent = Optional.empty();
        transitionTo(TaskState.QUEUED);
    }

    /** Takes note that the worker has seen a higher run of this task, of an entry that had the job before. */
    void skipRunNumbers(int count) {
        runNumber += count;
    }

    void recordFailure() {
        failures++;
    }

    void avoidCurrentAgent() {
        avoidedAgent = agent;
    }

    void updateCheckpoint(String received) {
        if (!received.isEmpty()) {
            checkpoint = received;
        }
    }

    void markEnded() {
        agent = Optional.empty();
        transitionTo(TaskState.ENDED);
    }

    private void transitionTo(TaskState next) {
        job.taskStateChanged(state, next);
        state = next;
    }
}
