package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.knapweedmount.api.Resources;

/** The queues, leases and agents of one service. */
final class ServiceState {
    private static final double MILLIS_PER_SECOND = 1000;

    private final String name;
    private final FairQueues queues;
    private final LeasePool leases = new LeasePool();
    private final DemandPlanner demand;
    private final List<AgentService> agents = new ArrayList<>();
    private final Set<Resources> workerSizes = new HashSet<>();
    private int availableSlots;
    private int earliestRosterVersion;

    ServiceState(EntryContext context, String name, RunTimes runTimes) {
        this.name = name;
        this.queues = new FairQueues(context.config(), runTimes);
        this.demand = new DemandPlanner(context, name, queues, agents);
    }

    String name() {
        return name;
    }

    FairQueues queues() {
        return queues;
    }

    LeasePool leases() {
        return leases;
    }

    DemandPlanner demand() {
        return demand;
    }

    List<AgentService> agents() {
        return agents;
    }

    /** Returns the state of an agent for this service, which is created if there is none. */
    AgentService findOrCreateAgent(AgentState agent) {
        return agent.services().computeIfAbsent(name, unused -> {
            AgentService agentService = new AgentService(agent);
            agents.add(agentService);
            return agentService;
        });
    }

    /** Removes an agent whose link is lost. */
    void removeAgent(AgentService agentService) {
        leases.clear(agentService);
        agents.remove(agentService);
        demand.agentUnavailable(agentService);
        recomputeTotals();
    }

    /** Handles an agent that has begun or ceased to accept new work. */
    void agentChanged(AgentService agentService) {
        if (!agentService.agent().acceptsWork()) {
            demand.agentUnavailable(agentService);
        }
        recomputeTotals();
    }

    /** Recomputes the totals over all agents after one of them has changed. */
    void recomputeTotals() {
        availableSlots = 0;
        earliestRosterVersion = Integer.MAX_VALUE;
        workerSizes.clear();
        for (AgentService agentService : agents) {
            if (agentService.slots() == 0) {
                continue;
            }
            workerSizes.add(agentService.resources());
            if (agentService.agent().acceptsWork()) {
                availableSlots += agentService.slots();
                earliestRosterVersion =
                        Math.min(earliestRosterVersion, agentService.agent().firstRosterVersion());
            }
        }
    }

    /** Returns whether tasks of a roster version may be sent to some agent that accepts new work. */
    boolean serves(int rosterVersion) {
        return availableSlots > 0 && earliestRosterVersion <= rosterVersion;
    }

    /** Returns whether a task fits the largest worker of some agent. */
    boolean fits(Resources required) {
        if (workerSizes.isEmpty() || workerSizes.contains(Resources.NONE)) {
            return true;
        }
        return workerSizes.stream().anyMatch(required::fits);
    }

    /**
     * Predicts the waiting time of the next task of a flow.
     *
     * @param queue the queue of the flow
     * @param runMillis the average run time of its tasks, in ms
     * @param entries the number of entries that share the slots
     * @param nowNanos the current time, in ns
     * @return the predicted wait, in ms
     */
    double predictedWaitMillis(FlowQueue queue, double runMillis, int entries, long nowNanos) {
        if (queue.isEmpty()) {
            return 0;
        }
        queue.departures().advance(nowNanos, true);
        double slots = queues.share(queue.flow()) * availableSlots / entries;
        double perSecond = queue.departures().perSecond(slots * MILLIS_PER_SECOND / runMillis);
        return queue.size() / perSecond * MILLIS_PER_SECOND;
    }
}
