package org.knapweedmount.core.entry;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;

/**
 * The idle leases with the same scope and flow.
 *
 * <p>Agents in the entry's data centre come first, then those with the most leases.
 */
final class LeaseShelf {
    private final Map<AgentService, Stack> byAgent = new HashMap<>();
    private final NavigableSet<Stack> inOrder = new TreeSet<>(Stack.ORDER);

    /** The leases of one agent, the oldest first. */
    static final class Stack {
        private static final Comparator<Stack> ORDER = Comparator.comparing(
                        (Stack stack) -> !stack.agent.agent().local())
                .thenComparingInt(stack -> -stack.leases.size())
                .thenComparing(stack -> stack.agent.agent().incarnation());

        private final AgentService agent;
        private final Deque<Long> leases = new ArrayDeque<>();

        private Stack(AgentService agent) {
            this.agent = agent;
        }

        AgentService agent() {
            return agent;
        }
    }

    boolean isEmpty() {
        return inOrder.isEmpty();
    }

    /** Returns the agents with leases, the preferred one first. */
    Iterable<Stack> stacks() {
        return inOrder;
    }

    int count(AgentService agent) {
        Stack stack = byAgent.get(agent);
        return stack == null ? 0 : stack.leases.size();
    }

    /** Returns the oldest lease of an agent, {@link Long#MAX_VALUE} if it has none. */
    long oldest(AgentService agent) {
        Stack stack = byAgent.get(agent);
        return stack == null ? Long.MAX_VALUE : stack.leases.getFirst();
    }

    void add(AgentService agent, long lease) {
        Stack stack = byAgent.computeIfAbsent(agent, Stack::new);
        inOrder.remove(stack);
        stack.leases.addLast(lease);
        inOrder.add(stack);
    }

    /** Takes out the oldest lease of an agent that has one. */
    long take(AgentService agent) {
        Stack stack = byAgent.get(agent);
        inOrder.remove(stack);
        long lease = stack.leases.removeFirst();
        if (stack.leases.isEmpty()) {
            byAgent.remove(agent);
        } else {
            inOrder.add(stack);
        }
        return lease;
    }

    /** Removes all leases of an agent and returns how many there were. */
    int clear(AgentService agent) {
        Stack stack = byAgent.remove(agent);
        if (stack == null) {
            return 0;
        }
        inOrder.remove(stack);
        return stack.leases.size();
    }
}
