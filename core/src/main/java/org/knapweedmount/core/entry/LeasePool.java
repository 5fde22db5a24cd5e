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
     * @param agentService the agent that granted the lease
     * @param lease the number of the lease
     * @param task the task
     */
    record Match(AgentService agentService, long lease, TaskRun task) {}

    int size() {
        return size;
    }

    void add(AgentService agentService, LeaseClass leaseClass, long lease) {
        groups.computeIfAbsent(leaseClass, unused -> new LeaseGroup()).add(agentService, lease);
        size++;
    }

    /**
     * Removes and returns the best lease for the first task of a flow that may be sent to an agent with leases.
     *
     * <p>Leases reserved for the flow are preferred, then those for short kinds only, then those for any kind. Leases
     * reserved for another flow are not used, because agents deny starts of any other flow under them.
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
            AgentService agentService = agentLeases.agentService();
            Optional<TaskRun> task = firstFor(agentService, queue, reserved, nowNanos);
            if (task.isPresent()) {
                return Optional.of(new Match(agentService, take(leaseClass, group, agentService), task.get()));
            }
        }
        return Optional.empty();
    }

    /** Returns the first task of a queue that may be sent to an agent under one of its leases. */
    static Optional<TaskRun> firstFor(AgentService agentService, FlowQueue queue, boolean reserved, long nowNanos) {
        AgentState agent = agentService.agent();
        boolean paused = !reserved && agent.paused(queue.flow(), nowNanos);
        if (paused || !agent.available(nowNanos)) {
            return Optional.empty();
        }
        return queue.firstFor(agentService);
    }

    /** Removes and returns the oldest leases of an agent, up to the given number. */
    List<Long> takeOldest(AgentService agentService, int count) {
        List<Long> taken = new ArrayList<>();
        while (taken.size() < count) {
            Optional<Map.Entry<LeaseClass, LeaseGroup>> oldest = oldestGroup(agentService);
            if (oldest.isEmpty()) {
                break;
            }
            taken.add(take(oldest.get().getKey(), oldest.get().getValue(), agentService));
        }
        return taken;
    }

    /** Returns the number of an agent's leases. */
    int count(AgentService agentService) {
        return groups.values().stream()
                .mapToInt(group -> group.count(agentService))
                .sum();
    }

    /** Removes the leases of an agent whose link is lost. */
    void clear(AgentService agentService) {
        groups.values().forEach(group -> size -= group.clear(agentService));
        groups.values().removeIf(LeaseGroup::isEmpty);
    }

    private Optional<Map.Entry<LeaseClass, LeaseGroup>> oldestGroup(AgentService agentService) {
        Map.Entry<LeaseClass, LeaseGroup> oldest = null;
        for (Map.Entry<LeaseClass, LeaseGroup> entry : groups.entrySet()) {
            long lease = entry.getValue().oldest(agentService);
            if (lease != Long.MAX_VALUE
                    && (oldest == null || lease < oldest.getValue().oldest(agentService))) {
                oldest = entry;
            }
        }
        return Optional.ofNullable(oldest);
    }

    private long take(LeaseClass leaseClass, LeaseGroup group, AgentService agentService) {
        long lease = group.take(agentService);
        size--;
        if (group.isEmpty()) {
            groups.remove(leaseClass);
        }
        return lease;
    }
}
