package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.Flow;

/** How many leases for one flow each agent is asked for. */
final class FlowAsk {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long WIDENING_NANOS = 10 * NANOS_PER_MILLI;
    private static final long REMINDER_NANOS = 1_000 * NANOS_PER_MILLI;

    private final Flow flow;
    private final Map<AgentService, Integer> wanted = new LinkedHashMap<>();
    private int total;
    private long progressNanos;
    private boolean exhausted;
    private boolean emptied;
    private long emptiedNanos;

    FlowAsk(Flow flow, long nowNanos) {
        this.flow = flow;
        this.progressNanos = nowNanos;
    }

    /** The number of leases that all agents together are asked for. */
    int total() {
        return total;
    }

    int wanted(AgentService agent) {
        return wanted.getOrDefault(agent, 0);
    }

    /** Sets the number of leases that an agent is asked for. */
    void want(AgentService agent, int leases) {
        Integer before = leases == 0 ? wanted.remove(agent) : wanted.put(agent, leases);
        total += leases - (before == null ? 0 : before);
        if (leases == 0) {
            agent.targetDemand().remove(flow);
        } else {
            agent.targetDemand().put(flow, leases);
        }
    }

    /** Asks for nothing any more and returns the agents that were asked. */
    List<AgentService> withdraw() {
        List<AgentService> agents = new ArrayList<>(wanted.keySet());
        agents.forEach(agent -> want(agent, 0));
        return agents;
    }

    /** The number of agents that are asked. */
    int breadth() {
        return wanted.size();
    }

    /** Notes that a task was started or that the queue is no longer empty. */
    void progress(long nowNanos) {
        progressNanos = nowNanos;
        exhausted = false;
    }

    /** Tells whether there were no further agents to ask. */
    boolean exhausted() {
        return exhausted;
    }

    /** Notes whether there are further agents to ask, and when the last was asked. */
    void widened(boolean all, long nowNanos) {
        progressNanos = nowNanos;
        exhausted = all;
    }

    /** Tells whether more agents are to be asked, or those asked reminded, because no task was started for a while. */
    boolean stalled(long nowNanos) {
        return nowNanos - progressNanos >= (exhausted ? REMINDER_NANOS : WIDENING_NANOS);
    }

    /** Notes that the queue is empty. */
    void empty(long nowNanos) {
        emptied = true;
        emptiedNanos = nowNanos;
    }

    /** Notes that tasks wait, and returns whether the queue was empty before. */
    boolean refilled() {
        boolean before = emptied;
        emptied = false;
        return before;
    }

    boolean emptied() {
        return emptied;
    }

    boolean emptyFor(long nowNanos, long nanos) {
        return emptied && nowNanos - emptiedNanos >= nanos;
    }
}
