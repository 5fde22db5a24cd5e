package org.knapweedmount.core.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.Capacity;

/** The capacity of one agent for one service, and the demand that was last sent to it. */
final class AgentService {
    private final AgentState agent;
    private final Map<Flow, Integer> sentDemand = new HashMap<>();
    private final Map<Flow, Integer> targetDemand = new LinkedHashMap<>();
    private int slots;
    private Resources resources = Resources.NONE;
    private int otherIdleSlots;
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

    /** Returns whether the agent has a worker with the resources that a task requires. */
    boolean fits(Resources required) {
        return resources.equals(Resources.NONE) || required.fits(resources);
    }

    /** Returns whether a task may be sent to the agent now, given a lease. */
    boolean accepts(TaskRun task, long nowNanos) {
        return slots > 0
                && agent.available(nowNanos)
                && agent.firstRosterVersion() <= task.id().submission().rosterVersion()
                && fits(task.requiredResources())
                && task.maySendTo(agent);
    }

    /** The number of other idle slots that the agent last reported, less those requested since. */
    int otherIdleSlots() {
        return otherIdleSlots;
    }

    void otherIdleSlots(int count) {
        otherIdleSlots = count;
    }

    /** The number of leases for each flow in the demand that was last sent to the agent. */
    Map<Flow, Integer> sentDemand() {
        return sentDemand;
    }

    /** The number of leases for each flow that the agent should be asked for. */
    Map<Flow, Integer> targetDemand() {
        return targetDemand;
    }

    /** Returns whether at least an interval has passed since the last demand was sent. */
    boolean maySendDemand(long nowNanos, long intervalNanos) {
        return !demandEverSent || nowNanos - demandSentNanos >= intervalNanos;
    }

    void demandSent(long nowNanos) {
        demandEverSent = true;
        demandSentNanos = nowNanos;
    }
}
