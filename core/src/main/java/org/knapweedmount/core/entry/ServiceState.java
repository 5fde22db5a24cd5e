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

    /** Returns an agent's part in this service, created if need be. */
    AgentService findOrCreateAgent(AgentState agent) {
        return agent.services().computeIfAbsent(name, unused -> {
            AgentService agentService = new AgentService(agent);
            agents.add(agentService);
            return agentService;
        });
    }

    /** Forgets the part of an agent whose link is lost. */
    void removeAgent(AgentService agentService) {
        leases.clear(agentService);
        agents.remove(agentService);
        demand.agentUnavailable(agentService);
        recomputeTotals();
    }

    /** Takes account of an agent that takes new work from now on or no longer does. */
    void agentChanged(AgentService agentService) {
        if (!agentService.agent().acceptsWork()) {
            demand.agentUnavailable(agentService);
        }
        recomputeTotals();
    }

    /** Sums up the agents after one of them has changed. */
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

    /** Tells whether some agent that takes new work may be sent tasks of a roster version. */
    boolean serves(int rosterVersion) {
        return availableSlots > 0 && earliestRosterVersion <= rosterVersion;
    }

    /** Tells whether a task fits the largest worker of some agent. */
    boolean fits(Resources required) {
        if (workerSizes.isEmpty() || workerSizes.contains(Resources.NONE)) {
            return true;
        }
        return workerSizes.stream().anyMatch(required::fits);
    }

    /**
     * Predicts how long the next task of a flow waits.
     *
     * @param queue the queue of the flow
     * @param runMillis the average run time of its tasks, in ms
     * @param entries the number of entries that share the slots
     * @param nowNanos the present time
     * @return the wait in ms
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
