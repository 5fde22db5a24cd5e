package org.knapweedmount.core.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.Capacity;

/** What one agent has for one service, and which demand it knows of. */
final class AgentService {
    private final AgentState agent;
    private final Map<Flow, Integer> sentDemand = new HashMap<>();
    private final Map<Flow, Integer> targetDemand = new LinkedHashMap<>();
    private int slots;
    private Resources resources = Resources.NONE;
    private int freeElsewhere;
    private long demandSentNanos;
    private boolean demandEverSent;

    AgentService(AgentState agent) {
        this.agent = agent;
    }

    AgentState agent() {
        return agent;
    }

    int slots() {
        return slots;
    }

    Resources resources() {
        return resources;
    }

    void update(Capacity capacity) {
        slots = capacity.slots();
        resources = capacity.resources();
    }

    /** Tells whether the agent has a worker of the size that a task needs. */
    boolean fits(Resources required) {
        return resources.equals(Resources.NONE) || required.fits(resources);
    }

    /** Tells whether a task may be sent to the agent now, as soon as there is a lease. */
    boolean accepts(TaskRun task, long nowNanos) {
        return slots > 0
                && agent.available(nowNanos)
                && agent.firstRosterVersion() <= task.id().submission().rosterVersion()
                && fits(task.requiredResources())
                && task.maySendTo(agent);
    }

    /** The number of slots free elsewhere that the agent reported last, less those asked for since. */
    int freeElsewhere() {
        return freeElsewhere;
    }

    void freeElsewhere(int count) {
        freeElsewhere = count;
    }

    /** The leases of each flow that the agent was asked for last. */
    Map<Flow, Integer> sentDemand() {
        return sentDemand;
    }

    /** The leases of each flow that the agent is to be asked for. */
    Map<Flow, Integer> targetDemand() {
        return targetDemand;
    }

    /** Tells whether the last demand was sent longer ago than an interval. */
    boolean maySendDemand(long nowNanos, long intervalNanos) {
        return !demandEverSent || nowNanos - demandSentNanos >= intervalNanos;
    }

    void demandSent(long nowNanos) {
        demandEverSent = true;
        demandSentNanos = nowNanos;
    }
}
