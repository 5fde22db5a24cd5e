package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.Flow;

/** How many leases for one flow each agent is asked for. */
final class FlowLeaseDemand {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long ADD_AGENTS_AFTER_NANOS = 10 * NANOS_PER_MILLI;
    private static final long RESEND_AFTER_NANOS = 1_000 * NANOS_PER_MILLI;

    private final Flow flow;
    private final Map<AgentService, Integer> leasesByAgent = new LinkedHashMap<>();
    private int totalLeases;
    private long progressNanos;
    private boolean allAgentsAsked;
    private boolean queueEmpty;
    private long emptiedNanos;

    FlowLeaseDemand(Flow flow, long nowNanos) {
        this.flow = flow;
        this.progressNanos = nowNanos;
    }

    /** The number of leases that all agents together are asked for. */
    int totalLeases() {
        return totalLeases;
    }

    int leases(AgentService agent) {
        return leasesByAgent.getOrDefault(agent, 0);
    }

    /** Sets the number of leases that an agent is asked for. */
    void setLeases(AgentService agent, int leases) {
        Integer before = leases == 0 ? leasesByAgent.remove(agent) : leasesByAgent.put(agent, leases);
        totalLeases += leases - (before == null ? 0 : before);
        if (leases == 0) {
            agent.targetDemand().remove(flow);
        } else {
            agent.targetDemand().put(flow, leases);
        }
    }

    /** Asks for nothing any more and returns the agents that were asked. */
    List<AgentService> withdraw() {
        List<AgentService> agents = new ArrayList<>(leasesByAgent.keySet());
        agents.forEach(agent -> setLeases(agent, 0));
        return agents;
    }

    /** The number of agents that are asked. */
    int agentCount() {
        return leasesByAgent.size();
    }

    /** Notes that a task was started or that the queue is no longer empty. */
    void recordProgress(long nowNanos) {
        progressNanos = nowNanos;
        allAgentsAsked = false;
    }

    /** Tells whether there were no further agents to ask. */
    boolean allAgentsAsked() {
        return allAgentsAsked;
    }

    /** Notes whether there are further agents to ask, and when the last was asked. */
    void recordAgentsAsked(boolean allAsked, long nowNanos) {
        progressNanos = nowNanos;
        allAgentsAsked = allAsked;
    }

    /** Tells whether more agents are to be asked, or those asked reminded, because no task was started for a while. */
    boolean stalled(long nowNanos) {
        return nowNanos - progressNanos >= (allAgentsAsked ? RESEND_AFTER_NANOS : ADD_AGENTS_AFTER_NANOS);
    }

    /** Notes that the queue is empty. */
    void queueEmptied(long nowNanos) {
        queueEmpty = true;
        emptiedNanos = nowNanos;
    }

    /** Notes that tasks wait, and returns whether the queue was empty before. */
    boolean queueRefilled() {
        boolean wasEmpty = queueEmpty;
        queueEmpty = false;
        return wasEmpty;
    }

    boolean queueEmpty() {
        return queueEmpty;
    }

    boolean queueEmptyFor(long nowNanos, long durationNanos) {
        return queueEmpty && nowNanos - emptiedNanos >= durationNanos;
    }
}
