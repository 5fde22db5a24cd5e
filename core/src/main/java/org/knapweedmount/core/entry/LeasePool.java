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
    private final Map<LeaseClass, LeaseShelf> shelves = new HashMap<>();
    private int size;

    /**
     * What leases may be used for.
     *
     * @param scope the kinds that may use them
     * @param flow the flow that they are meant for, empty if any flow in scope may use them
     */
    record LeaseClass(LeaseScope scope, Optional<Flow> flow) {
        static LeaseClass of(Grant grant) {
            return new LeaseClass(grant.scope(), grant.flow());
        }

        boolean isMeantFor(Flow candidate) {
            return flow.isPresent() && flow.get().equals(candidate);
        }
    }

    /**
     * A lease and the task that is to use it.
     *
     * @param agent the agent that granted the lease
     * @param lease the lease's number
     * @param task the task
     */
    record Match(AgentService agent, long lease, TaskRun task) {}

    int size() {
        return size;
    }

    void add(AgentService agent, LeaseClass leaseClass, long lease) {
        shelves.computeIfAbsent(leaseClass, unused -> new LeaseShelf()).add(agent, lease);
        size++;
    }

    /**
     * Takes the best lease for the first task of a flow that some agent with leases may be sent.
     *
     * <p>Leases meant for the flow come first, then those for short kinds only, then those for any kind. Leases meant for
     * another flow are left alone, because agents refuse starts of any other flow under them.
     */
    Optional<Match> take(FlowQueue queue, long nowNanos) {
        if (size == 0) {
            return Optional.empty();
        }
        Flow flow = queue.flow();
        for (Optional<Flow> tag : List.of(Optional.of(flow), Optional.<Flow>empty())) {
            for (LeaseScope scope : List.of(LeaseScope.SHORT_ONLY, LeaseScope.ANY)) {
                Optional<Match> match = take(new LeaseClass(scope, tag), queue, nowNanos);
                if (match.isPresent()) {
                    return match;
                }
            }
        }
        return Optional.empty();
    }

    private Optional<Match> take(LeaseClass leaseClass, FlowQueue queue, long nowNanos) {
        LeaseShelf shelf = shelves.get(leaseClass);
        if (shelf == null || !leaseClass.scope().admits(queue.kind())) {
            return Optional.empty();
        }
        boolean meant = leaseClass.isMeantFor(queue.flow());
        for (LeaseShelf.Stack stack : shelf.stacks()) {
            AgentService agent = stack.agent();
            Optional<TaskRun> task = firstFor(agent, queue, meant, nowNanos);
            if (task.isPresent()) {
                return Optional.of(new Match(agent, take(leaseClass, shelf, agent), task.get()));
            }
        }
        return Optional.empty();
    }

    /** Returns the first task of a queue that may be sent to an agent under one of its leases. */
    static Optional<TaskRun> firstFor(AgentService target, FlowQueue queue, boolean meant, long nowNanos) {
        AgentState agent = target.agent();
        boolean paused = !meant && agent.paused(queue.flow(), nowNanos);
        if (paused || !agent.available(nowNanos)) {
            return Optional.empty();
        }
        return queue.firstFor(target);
    }

    /** Takes out the oldest leases of an agent, at most as many as given. */
    List<Long> takeOldest(AgentService agent, int count) {
        List<Long> taken = new ArrayList<>();
        while (taken.size() < count) {
            Optional<Map.Entry<LeaseClass, LeaseShelf>> oldest = oldestShelf(agent);
            if (oldest.isEmpty()) {
                break;
            }
            taken.add(take(oldest.get().getKey(), oldest.get().getValue(), agent));
        }
        return taken;
    }

    /** Counts an agent's leases. */
    int count(AgentService agent) {
        return shelves.values().stream().mapToInt(shelf -> shelf.count(agent)).sum();
    }

    /** Removes the leases of an agent whose link is lost. */
    void clear(AgentService agent) {
        shelves.values().forEach(shelf -> size -= shelf.clear(agent));
        shelves.values().removeIf(LeaseShelf::isEmpty);
    }

    private Optional<Map.Entry<LeaseClass, LeaseShelf>> oldestShelf(AgentService agent) {
        Map.Entry<LeaseClass, LeaseShelf> oldest = null;
        for (Map.Entry<LeaseClass, LeaseShelf> entry : shelves.entrySet()) {
            long lease = entry.getValue().oldest(agent);
            if (lease != Long.MAX_VALUE
                    && (oldest == null || lease < oldest.getValue().oldest(agent))) {
                oldest = entry;
            }
        }
        return Optional.ofNullable(oldest);
    }

    private long take(LeaseClass leaseClass, LeaseShelf shelf, AgentService agent) {
        long lease = shelf.take(agent);
        size--;
        if (shelf.isEmpty()) {
            shelves.remove(leaseClass);
        }
        return lease;
    }
}
