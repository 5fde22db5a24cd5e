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
    private final Resources requiredResources;
    private final List<AgentState> sentTo = new ArrayList<>(1);
    private final List<AgentState> excludedAgents = new ArrayList<>(0);
    private final Invariants invariants;
    private TaskPhase phase = EntryCharts.TASK.initial();
    private long queuedNanos;
    private long sentNanos;
    private long sequence;
    private Optional<TaskResult> firstResult = Optional.empty();

    /** The neighbours in the queue, kept by {@link TaskList}. */
    TaskRun previous;

    TaskRun next;

    TaskRun(Submission submission, int index, Resources requiredResources, Invariants invariants) {
        this.submission = submission;
        this.id = submission.id().task(index);
        this.spec = submission.job().tasks().get(index);
        this.flow = new Flow(spec.kind(), submission.job().team());
        this.requiredResources = requiredResources;
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
    Resources requiredResources() {
        return requiredResources;
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
        return !sentTo.isEmpty();
    }

    /** Tells whether the task may be sent to an agent as far as its own history goes. */
    boolean maySendTo(AgentState agent) {
        return !sentTo.contains(agent) && !excludedAgents.contains(agent);
    }

    /** Returns the agent that the task was sent to last. */
    AgentState lastAgent() {
        return sentTo.get(sentTo.size() - 1);
    }

    /** Notes when the task was put into its queue; a task that was denied keeps the time of its first wait. */
    void queued(long nowNanos) {
        queuedNanos = nowNanos;
    }

    /** Notes that it was sent to an agent. */
    void sent(AgentState agent, long startSequence, long nowNanos) {
        transition(TaskEvent.SENT);
        sequence = startSequence;
        sentNanos = nowNanos;
        sentTo.add(agent);
    }

    /** Notes that the agent has denied the start. */
    void denied(AgentState agent) {
        transition(TaskEvent.DENIED);
        sentTo.remove(agent);
    }

    /** Keeps the task from being sent to an agent again. */
    void exclude(AgentState agent) {
        excludedAgents.add(agent);
    }

    void linkLost() {
        transition(TaskEvent.LINK_LOST);
    }

    void foundRunning() {
        transition(TaskEvent.FOUND_RUNNING);
    }

    /** Notes the result of a run that is followed by another one. */
    void retried(TaskResult result) {
        transition(TaskEvent.RETRIED);
        firstResult = Optional.of(result);
    }

    void ended() {
        transition(TaskEvent.ENDED);
    }

    private void transition(TaskEvent event) {
        phase = EntryCharts.TASK.next(phase, event, invariants);
    }
}
