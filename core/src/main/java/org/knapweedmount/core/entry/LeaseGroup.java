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
 * <p>Agents in the entry's data centre are preferred, then those with the most leases.
 */
final class LeaseGroup {
    private final Map<AgentService, AgentLeases> byAgent = new HashMap<>();
    private final NavigableSet<AgentLeases> byPreference = new TreeSet<>(AgentLeases.ORDER);

    /** The leases of one agent, the oldest first. */
    static final class AgentLeases {
        private static final Comparator<AgentLeases> ORDER = Comparator.comparing(
                        (AgentLeases agentLeases) -> !agentLeases.agent.agent().local())
                .thenComparingInt(agentLeases -> -agentLeases.leases.size())
                .thenComparing(agentLeases -> agentLeases.agent.agent().incarnation());

        private final AgentService agent;
        private final Deque<Long> leases = new ArrayDeque<>();

        private AgentLeases(AgentService agent) {
            this.agent = agent;
        }

        AgentService agent() {
            return agent;
        }
    }

    boolean isEmpty() {
        return byPreference.isEmpty();
    }

    /** Returns the agents with leases, in order of preference. */
    Iterable<AgentLeases> byPreference() {
        return byPreference;
    }

    int count(AgentService agent) {
        AgentLeases agentLeases = byAgent.get(agent);
        return agentLeases == null ? 0 : agentLeases.leases.size();
    }

    /** Returns the oldest lease of an agent, {@link Long#MAX_VALUE} if it has none. */
    long oldest(AgentService agent) {
        AgentLeases agentLeases = byAgent.get(agent);
        return agentLeases == null ? Long.MAX_VALUE : agentLeases.leases.getFirst();
    }

    void add(AgentService agent, long lease) {
        AgentLeases agentLeases = byAgent.computeIfAbsent(agent, AgentLeases::new);
        byPreference.remove(agentLeases);
        agentLeases.leases.addLast(lease);
        byPreference.add(agentLeases);
    }

    /** Removes and returns the oldest lease of an agent that has one. */
    long take(AgentService agent) {
        AgentLeases agentLeases = byAgent.get(agent);
        byPreference.remove(agentLeases);
        long lease = agentLeases.leases.removeFirst();
        if (agentLeases.leases.isEmpty()) {
            byAgent.remove(agent);
        } else {
            byPreference.add(agentLeases);
        }
        return lease;
    }

    /** Removes all leases of an agent and returns how many there were. */
    int clear(AgentService agent) {
        AgentLeases agentLeases = byAgent.remove(agent);
        if (agentLeases == null) {
            return 0;
        }
        byPreference.remove(agentLeases);
        return agentLeases.leases.size();
    }
}
