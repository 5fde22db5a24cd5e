package org.knapweedmount.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.work.RunRef;

/** Tracks the state of one task of a job at its entry. */
final class TrackedTask {
    /** How many run numbers are skipped at least if the worker has seen a higher one; more than the attempts of a task. */
    private static final int MIN_OUTDATED_SKIP_COUNT = 10;

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
    private OptionalLong dataWaitSinceNanos = OptionalLong.empty();

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

    /** Adds a decision about the current run to the job's history, prefixed with step, task index and run number. */
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

    /** Returns the agent from which the current run was ordered, empty if there is no run. */
    Optional<Incarnation> agent() {
        return agent;
    }

    /** Returns the agent whose worker last ran the task without success. */
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
        dataWaitSinceNanos = OptionalLong.empty();
        transitionTo(TaskState.QUEUED);
    }

    /** Records that the task, which could run elsewhere, waits for a worker near its data from now on. */
    void beginDataWait(long nowNanos) {
        dataWaitSinceNanos = OptionalLong.of(nowNanos);
    }

    /** Returns since when the queued task has waited for a worker near its data, in ns; empty if it has not. */
    OptionalLong dataWaitSinceNanos() {
        return dataWaitSinceNanos;
    }

    /** Skips run numbers that runs of an earlier submission of the job may have. */
    void skipRunNumbers(int count) {
        runNumber += count;
    }

    /**
     * Skips run numbers after the worker has seen a higher one. An entry before this one may have reached any number, which
     * doubling passes within some orders.
     */
    void skipOutdatedRunNumbers() {
        skipRunNumbers(Math.max(MIN_OUTDATED_SKIP_COUNT, runNumber));
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
        job.taskStateChanged(this, state, next);
        state = next;
    }
}
