package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.Flow;

/** The number of leases for one flow that each agent is asked for. */
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

    int leases(AgentService agentService) {
        return leasesByAgent.getOrDefault(agentService, 0);
    }

    /** Sets the number of leases that an agent is asked for. */
    void setLeases(AgentService agentService, int leases) {
        Integer before = leases == 0 ? leasesByAgent.remove(agentService) : leasesByAgent.put(agentService, leases);
        totalLeases += leases - (before == null ? 0 : before);
        if (leases == 0) {
            agentService.targetDemand().remove(flow);
        } else {
            agentService.targetDemand().put(flow, leases);
        }
    }

    /** Withdraws the whole demand and returns the agents that were asked. */
    List<AgentService> withdraw() {
        List<AgentService> agents = new ArrayList<>(leasesByAgent.keySet());
        agents.forEach(agentService -> setLeases(agentService, 0));
        return agents;
    }

    /** The number of agents that are asked. */
    int agentCount() {
        return leasesByAgent.size();
    }

    /** Records that a task was started or that the queue is no longer empty. */
    void recordProgress(long nowNanos) {
        progressNanos = nowNanos;
        allAgentsAsked = false;
    }

    /** Returns whether there were no further agents to ask. */
    boolean allAgentsAsked() {
        return allAgentsAsked;
    }

    /** Records when agents were last asked, and whether all agents have been asked. */
    void recordAgentsAsked(boolean allAsked, long nowNanos) {
        progressNanos = nowNanos;
        allAgentsAsked = allAsked;
    }

    /** Returns whether more agents should be asked, or the demand sent again, because no task was started in time. */
    boolean stalled(long nowNanos) {
        return nowNanos - progressNanos >= (allAgentsAsked ? RESEND_AFTER_NANOS : ADD_AGENTS_AFTER_NANOS);
    }

    /** Records that the queue is empty. */
    void queueEmptied(long nowNanos) {
        queueEmpty = true;
        emptiedNanos = nowNanos;
    }

    /** Records that tasks are queued, and returns whether the queue was empty before. */
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
