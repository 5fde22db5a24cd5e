package org.knapweedmount.core.entry;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.core.config.ConfigState;

/**
 * The queues of one service, served by start-time fair queueing.
 *
 * <p>The cost of a task is the average run time of its kind divided by the weights of its kind and team. A queue that
 * was empty re-enters at the present virtual time.
 */
final class FairQueues {
    private static final Comparator<FlowQueue> BY_START_TAG =
            Comparator.comparingDouble(FlowQueue::startTag).thenComparingInt(FlowQueue::number);

    private final ConfigState config;
    private final RunTimes runTimes;
    private final Map<Flow, FlowQueue> queues = new HashMap<>();
    private final NavigableSet<FlowQueue> backlog = new TreeSet<>(BY_START_TAG);
    private double virtualTime;
    private double backlogWeight;
    private int createdQueues;

    FairQueues(ConfigState config, RunTimes runTimes) {
        this.config = config;
        this.runTimes = runTimes;
    }

    /** Returns the queue of a flow, empty if no task of it has been queued yet. */
    Optional<FlowQueue> find(Flow flow) {
        return Optional.ofNullable(queues.get(flow));
    }

    /** Returns the queues with tasks, the one that is due first at the front. */
    Collection<FlowQueue> backlog() {
        return backlog;
    }

    boolean isEmpty() {
        return backlog.isEmpty();
    }

    FlowQueue addLast(TaskRun task, long nowNanos) {
        FlowQueue queue = prepare(task, nowNanos);
        queue.addLast(task);
        activate(queue);
        return queue;
    }

    /** Puts a task that was not started back to the front of its queue and takes back its charge. */
    FlowQueue addFirst(TaskRun task, long nowNanos) {
        FlowQueue queue = prepare(task, nowNanos);
        queue.refund(cost(queue));
        queue.addFirst(task);
        activate(queue);
        return queue;
    }

    /** Takes a task out of its queue to be started. */
    void removeForStart(FlowQueue queue, TaskRun task, long nowNanos) {
        removeFromBacklog(queue);
        queue.departures().advance(nowNanos, true);
        if (task.queuedNanos() != nowNanos) {
            queue.departures().taskDeparted();
        }
        queue.remove(task);
        virtualTime = Math.max(virtualTime, queue.startTag());
        queue.charge(cost(queue));
        addToBacklog(queue);
    }

    /** Takes a task out of its queue that is not to be started. */
    FlowQueue remove(TaskRun task, long nowNanos) {
        FlowQueue queue = queues.get(task.flow());
        removeFromBacklog(queue);
        queue.departures().advance(nowNanos, true);
        queue.remove(task);
        addToBacklog(queue);
        return queue;
    }

    /** Puts new weights in force and forgets flows that no longer exist. */
    void configChanged() {
        queues.values().removeIf(queue -> queue.isEmpty() && !exists(queue.flow()));
        backlogWeight = 0;
        for (FlowQueue queue : queues.values()) {
            configure(queue);
            backlogWeight += queue.isEmpty() ? 0 : queue.weight();
        }
    }

    /** Returns the share of the service's slots that a flow gets while the queues stay as they are. */
    double share(Flow flow) {
        FlowQueue queue = queues.get(flow);
        if (queue == null) {
            double weight = weight(flow);
            return weight / (backlogWeight + weight);
        }
        double others = queue.isEmpty() ? backlogWeight : backlogWeight - queue.weight();
        return queue.weight() / (Math.max(0, others) + queue.weight());
    }

    private FlowQueue prepare(TaskRun task, long nowNanos) {
        FlowQueue queue = queues.get(task.flow());
        if (queue == null) {
            queue = new FlowQueue(task.flow(), createdQueues++, nowNanos);
            queues.put(task.flow(), queue);
            configure(queue);
        }
        queue.departures().advance(nowNanos, !queue.isEmpty());
        removeFromBacklog(queue);
        return queue;
    }

    private void removeFromBacklog(FlowQueue queue) {
        if (backlog.remove(queue)) {
            backlogWeight -= queue.weight();
        }
    }

    private void activate(FlowQueue queue) {
        if (queue.size() == 1) {
            queue.setStartTag(virtualTime);
        }
        addToBacklog(queue);
    }

    private void addToBacklog(FlowQueue queue) {
        if (!queue.isEmpty()) {
            backlog.add(queue);
            backlogWeight += queue.weight();
        }
    }

    private void configure(FlowQueue queue) {
        Optional<KindConfig> kind = config.kind(queue.flow().kind());
        if (kind.isPresent()) {
            queue.configure(kind.get(), weight(queue.flow()));
        }
    }

    private boolean exists(Flow flow) {
        return config.kind(flow.kind()).isPresent() && config.team(flow.team()).isPresent();
    }

    private double weight(Flow flow) {
        double kind = config.kind(flow.kind()).map(KindConfig::weight).orElse(1.0);
        double team = config.team(flow.team()).map(TeamConfig::weight).orElse(1.0);
        return kind * team;
    }

    private double cost(FlowQueue queue) {
        return runTimes.millis(queue.kind()) / queue.weight();
    }
}
