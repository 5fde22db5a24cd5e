package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.LeaseScope;

/** The idle leases of one service. */
final class LeasePool {
    private final Map<LeaseClass, LeaseGroup> groups = new HashMap<>();
    private int size;

    /**
     * The tasks that a lease may be used for.
     *
     * @param scope the kinds that may use it
     * @param flow the flow that it is reserved for, empty if any flow in scope may use it
     */
    record LeaseClass(LeaseScope scope, Optional<Flow> flow) {
        static LeaseClass of(Grant grant) {
            return new LeaseClass(grant.scope(), grant.flow());
        }

        boolean isReservedFor(Flow candidate) {
            return flow.isPresent() && flow.get().equals(candidate);
        }
    }

    /**
     * A lease and the task that is to be started under it.
     *
     * @param agent the agent that granted the lease
     * @param lease the number of the lease
     * @param task the task
     */
    record Match(AgentService agent, long lease, TaskRun task) {}

    int size() {
        return size;
    }

    void add(AgentService agent, LeaseClass leaseClass, long lease) {
        groups.computeIfAbsent(leaseClass, unused -> new LeaseGroup()).add(agent, lease);
        size++;
    }

    /**
     * Removes and returns the best lease for the first task of a flow that may be sent to an agent with leases.
     *
     * <p>Leases reserved for the flow are preferred, then those for short kinds only, then those for any kind. Leases
     * reserved for another flow are not used, because agents reject starts of any other flow under them.
     */
    Optional<Match> take(FlowQueue queue, long nowNanos) {
        if (size == 0) {
            return Optional.empty();
        }
        Flow flow = queue.flow();
        for (Optional<Flow> reservedFlow : List.of(Optional.of(flow), Optional.<Flow>empty())) {
            for (LeaseScope scope : List.of(LeaseScope.SHORT_ONLY, LeaseScope.ANY)) {
                Optional<Match> match = take(new LeaseClass(scope, reservedFlow), queue, nowNanos);
                if (match.isPresent()) {
                    return match;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Match> take(LeaseClass leaseClass, FlowQueue queue, long nowNanos) {
        LeaseGroup group = groups.get(leaseClass);
        if (group == null || !leaseClass.scope().admits(queue.kind())) {
            return Optional.empty();
        }
        boolean reserved = leaseClass.isReservedFor(queue.flow());
        for (LeaseGroup.AgentLeases agentLeases : group.byPreference()) {
            AgentService agent = agentLeases.agent();
            Optional<TaskRun> task = firstFor(agent, queue, reserved, nowNanos);
            if (task.isPresent()) {
                return Optional.of(new Match(agent, take(leaseClass, group, agent), task.get()));
            }
        }
        return Optional.empty();
    }

    /** Returns the first task of a queue that may be sent to an agent under one of its leases. */
    static Optional<TaskRun> firstFor(AgentService target, FlowQueue queue, boolean reserved, long nowNanos) {
        AgentState agent = target.agent();
        boolean paused = !reserved && agent.paused(queue.flow(), nowNanos);
        if (paused || !agent.available(nowNanos)) {
            return Optional.empty();
        }
        return queue.firstFor(target);
    }

    /** Removes and returns the oldest leases of an agent, up to the given number. */
    List<Long> takeOldest(AgentService agent, int count) {
        List<Long> taken = new ArrayList<>();
        while (taken.size() < count) {
            Optional<Map.Entry<LeaseClass, LeaseGroup>> oldest = oldestGroup(agent);
            if (oldest.isEmpty()) {
                break;
            }
            taken.add(take(oldest.get().getKey(), oldest.get().getValue(), agent));
        }
        return taken;
    }

    /** Returns the number of an agent's leases. */
    int count(AgentService agent) {
        return groups.values().stream().mapToInt(group -> group.count(agent)).sum();
    }

    /** Removes the leases of an agent whose link is lost. */
    void clear(AgentService agent) {
        groups.values().forEach(group -> size -= group.clear(agent));
        groups.values().removeIf(LeaseGroup::isEmpty);
    }

    private Optional<Map.Entry<LeaseClass, LeaseGroup>> oldestGroup(AgentService agent) {
        Map.Entry<LeaseClass, LeaseGroup> oldest = null;
        for (Map.Entry<LeaseClass, LeaseGroup> entry : groups.entrySet()) {
            long lease = entry.getValue().oldest(agent);
            if (lease != Long.MAX_VALUE
                    && (oldest == null || lease < oldest.getValue().oldest(agent))) {
                oldest = entry;
            }
        }
        return Optional.ofNullable(oldest);
    }

    private long take(LeaseClass leaseClass, LeaseGroup group, AgentService agent) {
        long lease = group.take(agent);
        size--;
        if (group.isEmpty()) {
            groups.remove(leaseClass);
        }
        return lease;
    }
}
