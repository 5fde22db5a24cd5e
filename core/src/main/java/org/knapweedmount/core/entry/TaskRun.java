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

/** One task of an accepted submission, from being queued to its result. */
final class TaskRun {
    private final Submission submission;
    private final TaskId id;
    private final TaskSpec spec;
    private final Flow flow;
    private final Resources requiredResources;
    /** The agents that the task was sent to and that have not denied the start. */
    private final List<AgentState> sentTo = new ArrayList<>(1);

    private final List<AgentState> excludedAgents = new ArrayList<>(0);
    private final Invariants invariants;
    private TaskPhase phase = EntryCharts.TASK.initial();
    private long queuedNanos;
    private long sentNanos;
    private long sequence;
    private Optional<TaskResult> firstResult = Optional.empty();

    /** The neighbours in the queue, maintained by {@link TaskList}. */
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

    /** The resources that the task requires of a worker: the larger of those that its kind and its caller declare. */
    Resources requiredResources() {
        return requiredResources;
    }

    TaskPhase phase() {
        return phase;
    }

    /** When the task was last queued; a task that was denied keeps its earlier time. */
    long queuedNanos() {
        return queuedNanos;
    }

    /** When the task was last sent to an agent. */
    long sentNanos() {
        return sentNanos;
    }

    /** The sequence number of the last start that was sent. */
    long sequence() {
        return sequence;
    }

    /** The result of the first run if the task is being retried. */
    Optional<TaskResult> firstResult() {
        return firstResult;
    }

    /** Returns whether some agent may have started the task. */
    boolean mayHaveStarted() {
        return !sentTo.isEmpty();
    }

    /** Returns whether the task may be sent to an agent, which must not be excluded or hold an undenied start. */
    boolean maySendTo(AgentState agent) {
        return !sentTo.contains(agent) && !excludedAgents.contains(agent);
    }

    /** Returns the agent that the task was last sent to. */
    AgentState lastAgent() {
        return sentTo.get(sentTo.size() - 1);
    }

    /** Records when the task was queued; not called for a task that was denied, which keeps its earlier time. */
    void queued(long nowNanos) {
        queuedNanos = nowNanos;
    }

    /** Records that the task was sent to an agent. */
    void sent(AgentState agent, long startSequence, long nowNanos) {
        transition(TaskEvent.SENT);
        sequence = startSequence;
        sentNanos = nowNanos;
        sentTo.add(agent);
    }

    /** Records that the agent has denied the start. */
    void denied(AgentState agent) {
        transition(TaskEvent.DENIED);
        sentTo.remove(agent);
    }

    /** Excludes an agent from further starts of the task. */
    void exclude(AgentState agent) {
        excludedAgents.add(agent);
    }

    void linkLost() {
        transition(TaskEvent.LINK_LOST);
    }

    void foundRunning() {
        transition(TaskEvent.FOUND_RUNNING);
    }

    /** Records the result of the first run of a task that is retried. */
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
