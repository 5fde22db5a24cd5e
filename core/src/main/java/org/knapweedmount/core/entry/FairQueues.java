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
 * <p>The cost of a task is the average run time of its kind divided by the product of the weights of its kind and team.
 * A queue that was empty starts again at the current virtual time.
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

    /** Returns the queue of a flow, empty if no task of the flow was queued yet. */
    Optional<FlowQueue> find(Flow flow) {
        return Optional.ofNullable(queues.get(flow));
    }

    /** Returns the queues with tasks, in ascending order of their start tags. */
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

    /** Returns a task that was not started to the front of its queue and reverses its charge. */
    FlowQueue addFirst(TaskRun task, long nowNanos) {
        FlowQueue queue = prepare(task, nowNanos);
        queue.refund(cost(queue));
        queue.addFirst(task);
        activate(queue);
        return queue;
    }

    /** Removes a task that is to be started from its queue and charges its cost. */
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

    /** Removes a task that is not to be started from its queue. */
    FlowQueue remove(TaskRun task, long nowNanos) {
        FlowQueue queue = queues.get(task.flow());
        removeFromBacklog(queue);
        queue.departures().advance(nowNanos, true);
        queue.remove(task);
        addToBacklog(queue);
        return queue;
    }

    /** Applies new weights and removes empty queues of flows that no longer exist. */
    void configChanged() {
        queues.values().removeIf(queue -> queue.isEmpty() && !exists(queue.flow()));
        backlogWeight = 0;
        for (FlowQueue queue : queues.values()) {
            configure(queue);
            backlogWeight += queue.isEmpty() ? 0 : queue.weight();
        }
    }

    /** Returns the share of the service's slots that a flow gets with the current backlog, from 0 to 1. */
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
            queue.advanceStartTag(virtualTime);
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
