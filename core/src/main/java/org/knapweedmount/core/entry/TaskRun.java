package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.core.metric.Invariants;

/** One task of an accepted submission, from its first wait in a queue to its result. */
final class TaskRun {
    private final Submission submission;
    private final TaskId id;
    private final TaskSpec spec;
    private final Flow flow;
    private final Resources need;
    private final List<AgentState> startedAt = new ArrayList<>(1);
    private final List<AgentState> avoided = new ArrayList<>(0);
    private final Invariants invariants;
    private TaskPhase phase = EntryCharts.TASK.initial();
    private long queuedNanos;
    private long sentNanos;
    private long sequence;
    private Optional<TaskResult> firstResult = Optional.empty();

    /** The neighbours in the queue, kept by {@link TaskList}. */
    TaskRun previous;

    TaskRun next;

    TaskRun(Submission submission, int index, Resources need, Invariants invariants) {
        this.submission = submission;
        this.id = submission.id().task(index);
        this.spec = submission.job().tasks().get(index);
        this.flow = new Flow(spec.kind(), submission.job().team());
        this.need = need;
        this.invariants = invariants;
    }

    Submission submission() {
        return submission;
    }

    TaskId id() {
        return id;
    }

    TaskSpec spec() {
        return spec;
    }

    Flow flow() {
        return flow;
    }

    /** What the task needs of a worker: the larger of what its kind and its caller declare. */
    Resources need() {
        return need;
    }

    TaskPhase phase() {
        return phase;
    }

    /** Since when the task has waited, most recently. */
    long queuedNanos() {
        return queuedNanos;
    }

    /** When it was sent to an agent, most recently. */
    long sentNanos() {
        return sentNanos;
    }

    /** The sequence number of the start that was sent last. */
    long sequence() {
        return sequence;
    }

    /** The result of the first run if the task is being run again. */
    Optional<TaskResult> firstResult() {
        return firstResult;
    }

    /** Tells whether some agent may have started the task. */
    boolean mayHaveStarted() {
        return !startedAt.isEmpty();
    }

    /** Tells whether the task may be sent to an agent as far as its own history goes. */
    boolean mayStartAt(AgentState agent) {
        return !startedAt.contains(agent) && !avoided.contains(agent);
    }

    /** Returns the agent that the task was sent to last. */
    AgentState lastAgent() {
        return startedAt.get(startedAt.size() - 1);
    }

    /** Notes when the task was put into its queue; a task that was denied keeps the time of its first wait. */
    void queued(long nowNanos) {
        queuedNanos = nowNanos;
    }

    /** Notes that it was sent to an agent. */
    void sent(AgentState agent, long startSequence, long nowNanos) {
        step(TaskEvent.SENT);
        sequence = startSequence;
        sentNanos = nowNanos;
        startedAt.add(agent);
    }

    /** Notes that the agent has denied the start. */
    void denied(AgentState agent) {
        step(TaskEvent.DENIED);
        startedAt.remove(agent);
    }

    /** Keeps the task from being sent to an agent again. */
    void avoid(AgentState agent) {
        avoided.add(agent);
    }

    void linkLost() {
        step(TaskEvent.LINK_LOST);
    }

    void running() {
        step(TaskEvent.FOUND_RUNNING);
    }

    /** Notes the result of a run that is followed by another one. */
    void runAgainAfter(TaskResult result) {
        step(TaskEvent.RETRIED);
        firstResult = Optional.of(result);
    }

    void ended() {
        step(TaskEvent.ENDED);
    }

    private void step(TaskEvent event) {
        phase = EntryCharts.TASK.next(phase, event, invariants);
    }
}
