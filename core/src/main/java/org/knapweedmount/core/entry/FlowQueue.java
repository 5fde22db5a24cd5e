package org.knapweedmount.core.entry;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.config.KindConfig;

/**
 * The queued tasks of one flow, in order of arrival.
 *
 * <p>Tasks are grouped by the roster version of their IDs, so that the first task for an agent that was added late is
 * found without a scan of the tasks of earlier versions.
 */
final class FlowQueue {
    /** The maximum number of tasks of a roster version that are examined for one that fits an agent's workers. */
    private static final int MAX_EXAMINED_TASKS = 32;

    private final Flow flow;
    private final int number;
    private final DepartureRate departures;
    private final TreeMap<Integer, TaskList> byVersion = new TreeMap<>();
    private KindConfig kind;
    private double weight;
    private int size;
    private long bytes;
    private double startTag;
    private double finishTag;

    /**
     * Creates an empty queue.
     *
     * @param flow the flow
     * @param number a number that orders queues with the same start tag
     * @param nowNanos the current time, in ns
     */
    FlowQueue(Flow flow, int number, long nowNanos) {
        this.flow = flow;
        this.number = number;
        this.departures = new DepartureRate(nowNanos);
    }

    Flow flow() {
        return flow;
    }

    int number() {
        return number;
    }

    KindConfig kind() {
        return kind;
    }

    double weight() {
        return weight;
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** The total size of the bodies of the queued tasks, in bytes. */
    long bytes() {
        return bytes;
    }

    DepartureRate departures() {
        return departures;
    }

    /** The virtual time at which the first task is due. */
    double startTag() {
        return startTag;
    }

    void configure(KindConfig newKind, double newWeight) {
        kind = newKind;
        weight = newWeight;
    }

    /** Sets the start tag of the first task to a virtual time, or to the finish tag of the queue if that is later. */
    void advanceStartTag(double virtualTime) {
        startTag = Math.max(virtualTime, finishTag);
    }

    /** Charges the cost of a started task, so that the next one is due later. */
    void charge(double cost) {
        finishTag = startTag + cost;
        startTag = finishTag;
    }

    /** Reverses the charge of a task that was not started after all. */
    void refund(double cost) {
        finishTag -= cost;
        startTag -= cost;
    }

    /** Returns whether tasks of a roster version are queued. */
    boolean hasVersion(int version) {
        return byVersion.containsKey(version);
    }

    void addLast(TaskRun task) {
        list(task).addLast(task);
        taskAdded(task);
    }

    void addFirst(TaskRun task) {
        list(task).addFirst(task);
        taskAdded(task);
    }

    void remove(TaskRun task) {
        TaskList list = list(task);
        list.remove(task);
        if (list.isEmpty()) {
            byVersion.remove(version(task));
        }
        size--;
        bytes -= task.spec().body().size();
    }

    /** Returns the task that has waited longest. */
    Optional<TaskRun> oldest() {
        TaskRun oldest = null;
        for (TaskList list : byVersion.values()) {
            oldest = earlier(oldest, list.first());
        }
        return Optional.ofNullable(oldest);
    }

    /** The time that the oldest task has waited in µs, 0 if there is none. */
    long oldestWaitMicros(long nowNanos) {
        return oldest().map(task -> TimeUnit.NANOSECONDS.toMicros(nowNanos - task.queuedNanos()))
                .orElse(0L);
    }

    /** Returns the first task of each roster version. */
    Collection<TaskRun> heads() {
        return byVersion.values().stream().map(TaskList::first).toList();
    }

    /** Returns the first task that may be sent to an agent, empty if there is none among those examined. */
    Optional<TaskRun> firstFor(AgentService agentService) {
        TaskRun found = null;
        for (TaskList list :
                byVersion.tailMap(agentService.agent().firstRosterVersion()).values()) {
            found = earlier(found, firstFor(list, agentService));
        }
        return Optional.ofNullable(found);
    }

    private static TaskRun firstFor(TaskList list, AgentService agentService) {
        TaskRun task = list.first();
        for (int examined = 0; task != null && examined < MAX_EXAMINED_TASKS; examined++) {
            if (agentService.fits(task.requiredResources()) && task.maySendTo(agentService.agent())) {
                return task;
            }
            task = task.next;
        }
        return null;
    }

    private static TaskRun earlier(TaskRun one, TaskRun other) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return one.queuedNanos() - other.queuedNanos() <= 0 ? one : other;
    }

    private void taskAdded(TaskRun task) {
        size++;
        bytes += task.spec().body().size();
    }

    private TaskList list(TaskRun task) {
        return byVersion.computeIfAbsent(version(task), unused -> new TaskList());
    }

    private static int version(TaskRun task) {
        return task.id().submission().rosterVersion();
    }
}
