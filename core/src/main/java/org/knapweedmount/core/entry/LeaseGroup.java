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
        private static final Comparator<AgentLeases> ORDER = Comparator.comparing((AgentLeases agentLeases) ->
                        !agentLeases.agentService.agent().local())
                .thenComparingInt(agentLeases -> -agentLeases.leases.size())
                .thenComparing(agentLeases -> agentLeases.agentService.agent().incarnation());

        private final AgentService agentService;
        private final Deque<Long> leases = new ArrayDeque<>();

        private AgentLeases(AgentService agentService) {
            this.agentService = agentService;
        }

        AgentService agentService() {
            return agentService;
        }
    }

    boolean isEmpty() {
        return byPreference.isEmpty();
    }

    /** Returns the agents with leases, in order of preference. */
    Iterable<AgentLeases> byPreference() {
        return byPreference;
    }

    int count(AgentService agentService) {
        AgentLeases agentLeases = byAgent.get(agentService);
        return agentLeases == null ? 0 : agentLeases.leases.size();
    }

    /** Returns the oldest lease of an agent, {@link Long#MAX_VALUE} if it has none. */
    long oldest(AgentService agentService) {
        AgentLeases agentLeases = byAgent.get(agentService);
        return agentLeases == null ? Long.MAX_VALUE : agentLeases.leases.getFirst();
    }

    void add(AgentService agentService, long lease) {
        AgentLeases agentLeases = byAgent.computeIfAbsent(agentService, AgentLeases::new);
        byPreference.remove(agentLeases);
        agentLeases.leases.addLast(lease);
        byPreference.add(agentLeases);
    }

    /** Removes and returns the oldest lease of an agent that has one. */
    long take(AgentService agentService) {
        AgentLeases agentLeases = byAgent.get(agentService);
        byPreference.remove(agentLeases);
        long lease = agentLeases.leases.removeFirst();
        if (agentLeases.leases.isEmpty()) {
            byAgent.remove(agentService);
        } else {
            byPreference.add(agentLeases);
        }
        return lease;
    }

    /** Removes all leases of an agent and returns how many there were. */
    int clear(AgentService agentService) {
        AgentLeases agentLeases = byAgent.remove(agentService);
        if (agentLeases == null) {
            return 0;
        }
        byPreference.remove(agentLeases);
        return agentLeases.leases.size();
    }
}
