package org.knapweedmount.core.entry;

import java.util.List;

import org.knapweedmount.api.Incarnation;

/**
 * The state of an entry, for operators.
 *
 * @param draining true if the entry takes no new submissions
 * @param entries the entries that it is linked to
 * @param agents the linked agents, once for each of their services
 * @param queues the queues that are not empty
 */
public record EntryStatus(
        boolean draining, List<Incarnation> entries, List<AgentStatus> agents, List<QueueStatus> queues) {
    /** Copies the lists. */
    public EntryStatus {
        entries = List.copyOf(entries);
        agents = List.copyOf(agents);
        queues = List.copyOf(queues);
    }

    /**
     * Returns whether callers should be sent to this entry.
     *
     * @return true if it is not draining and some agent with slots gets new work
     */
    public boolean ready() {
        return !draining && agents.stream().anyMatch(agent -> agent.open() && agent.slots() > 0);
    }
}
