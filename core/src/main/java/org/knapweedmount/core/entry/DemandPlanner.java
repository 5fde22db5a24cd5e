package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.FlowDemand;

/**
 * Asks agents for leases for the queued tasks of one service.
 *
 * <p>Each queued task is asked of the one agent that last reported the most slots free elsewhere. If no agent reported
 * any, a few agents are asked, and more as long as none grants a lease. An agent is asked for its part of the queue
 * only: if each agent were asked for the whole of it, all would keep slots for the same few tasks.
 *
 * <p>A demand stands until it is replaced, and each start updates the part that its agent is asked for. So a demand is
 * sent again only when a flow is asked of the agent for the first time, no longer, or for much more.
 */
final class DemandPlanner {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long SHORTEST_INTERVAL_NANOS = 5 * NANOS_PER_MILLI;
    private static final long INTERVAL_NANOS_PER_FLOW = NANOS_PER_MILLI / 20;
    private static final long WITHDRAWAL_DELAY_NANOS = 2 * NANOS_PER_MILLI;
    private static final int LEASES_PER_TASK = 2;
    private static final int MAX_LEASES_PER_TASK = 4;
    private static final int MAX_AGENTS_ADDED = 4;
    private static final int GROWTH = 4;

    private final EntryContext context;
    private final String service;
    private final ServiceFlows flows;
    private final List<AgentService> agents;
    private final Map<Flow, FlowAsk> asks = new HashMap<>();
    private final Set<Flow> emptied = new LinkedHashSet<>();
    private final Set<AgentService> pending = new LinkedHashSet<>();
    private int nextAgent;

    /**
     * Creates a planner for a service without queued tasks.
     *
     * @param context what all parts share
     * @param service the name of the service
     * @param flows the queues of the service
     * @param agents a view of the agents of the service
     */
    DemandPlanner(EntryContext context, String service, ServiceFlows flows, List<AgentService> agents) {
        this.context = context;
        this.service = service;
        this.flows = flows;
        this.agents = agents;
    }

    /** Asks for leases for the tasks of a queue if too few are asked for. */
    void queued(FlowQueue queue, long nowNanos) {
        FlowAsk ask = asks.computeIfAbsent(queue.flow(), flow -> new FlowAsk(flow, nowNanos));
        if (ask.refilled()) {
            ask.progress(nowNanos);
        }
        while (ask.total() < queue.size()) {
            Optional<AgentService> hinted = mostFreeElsewhere(queue);
            if (hinted.isEmpty()) {
                spread(queue, ask, nowNanos);
                return;
            }
            AgentService agent = hinted.get();
            agent.freeElsewhere(agent.freeElsewhere() - 1);
            ask.want(agent, ask.wanted(agent) + 1);
            update(agent, nowNanos);
        }
    }

    /** Notes that a queue has become empty. */
    void emptied(FlowQueue queue, long nowNanos) {
        FlowAsk ask = asks.get(queue.flow());
        if (ask != null) {
            ask.empty(nowNanos);
            emptied.add(queue.flow());
        }
    }

    /** Notes a start and returns the part of its queue that the agent is asked for from now on. */
    int started(AgentService agent, FlowQueue queue, long nowNanos) {
        FlowAsk ask = asks.get(queue.flow());
        if (ask == null) {
            return 0;
        }
        ask.progress(nowNanos);
        int others = ask.total() - ask.wanted(agent);
        int least = others < MAX_LEASES_PER_TASK * queue.size() ? 1 : 0;
        int part = Math.max(least, Math.min(queue.size(), LEASES_PER_TASK * queue.size() - others));
        ask.want(agent, part);
        if (part > 0) {
            agent.sentDemand().put(queue.flow(), part);
        } else {
            agent.sentDemand().remove(queue.flow());
        }
        return part;
    }

    /** Notes that an agent has granted a lease for a flow without queued tasks. */
    void unneeded(AgentService agent, Flow flow, long nowNanos) {
        FlowAsk ask = asks.get(flow);
        if (ask != null && ask.wanted(agent) > 0) {
            ask.want(agent, 0);
            update(agent, nowNanos);
        }
    }

    void left(AgentService agent) {
        pending.remove(agent);
        asks.values().forEach(ask -> ask.want(agent, 0));
    }

    /** Sends what is due by now. */
    void tick(long nowNanos) {
        withdraw(nowNanos);
        for (FlowQueue queue : flows.backlog()) {
            queued(queue, nowNanos);
            FlowAsk ask = asks.get(queue.flow());
            if (ask.stalled(nowNanos)) {
                widen(queue, ask, nowNanos);
            }
        }
        List<AgentService> due = new ArrayList<>(pending);
        pending.clear();
        due.forEach(agent -> update(agent, nowNanos));
    }

    private Optional<AgentService> mostFreeElsewhere(FlowQueue queue) {
        AgentService best = null;
        for (AgentService agent : agents) {
            boolean better = agent.freeElsewhere() > (best == null ? 0 : best.freeElsewhere());
            if (better && serves(agent, queue)) {
                best = agent;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean serves(AgentService agent, FlowQueue queue) {
        return agent.agent().acceptsWork() && queue.firstFor(agent).isPresent();
    }

    /** Asks the next agents in turn for equal parts of what is not asked for yet. */
    private void spread(FlowQueue queue, FlowAsk ask, long nowNanos) {
        int missing = LEASES_PER_TASK * queue.size() - ask.total();
        int part = agents.isEmpty() ? 0 : (missing + agents.size() - 1) / agents.size();
        for (int i = 0; i < agents.size() && missing > 0; i++) {
            AgentService agent = next();
            int before = ask.wanted(agent);
            int after = Math.min(queue.size(), before + Math.min(part, missing));
            if (after > before && serves(agent, queue)) {
                missing -= after - before;
                ask.want(agent, after);
                update(agent, nowNanos);
            }
        }
    }

    /** Asks more agents, up to twice as many, because none has granted a lease for a while; or reminds one. */
    private void widen(FlowQueue queue, FlowAsk ask, long nowNanos) {
        int missing = Math.max(1, Math.min(ask.breadth(), MAX_AGENTS_ADDED));
        for (int i = 0; i < agents.size() && missing > 0; i++) {
            AgentService agent = next();
            if (ask.wanted(agent) == 0 && serves(agent, queue)) {
                missing--;
                ask.want(agent, 1);
                update(agent, nowNanos);
            }
        }
        if (ask.exhausted() && missing > 0 && ask.breadth() > 0) {
            remind(queue, ask, nowNanos);
        }
        ask.widened(missing > 0, nowNanos);
    }

    private void remind(FlowQueue queue, FlowAsk ask, long nowNanos) {
        AgentService agent = next();
        while (ask.wanted(agent) == 0) {
            agent = next();
        }
        agent.sentDemand().remove(queue.flow());
        update(agent, nowNanos);
    }

    private AgentService next() {
        nextAgent = (nextAgent + 1) % agents.size();
        return agents.get(nextAgent);
    }

    private void withdraw(long nowNanos) {
        Iterator<Flow> iterator = emptied.iterator();
        while (iterator.hasNext()) {
            Flow flow = iterator.next();
            FlowAsk ask = asks.get(flow);
            if (!ask.emptied()) {
                iterator.remove();
            } else if (ask.emptyFor(nowNanos, WITHDRAWAL_DELAY_NANOS)) {
                iterator.remove();
                asks.remove(flow);
                ask.withdraw().forEach(agent -> update(agent, nowNanos));
            }
        }
    }

    /** Sends an agent its demand, or notes it as pending if the last one was sent too recently. */
    private void update(AgentService agent, long nowNanos) {
        if (!differs(agent)) {
            return;
        }
        long intervalNanos = SHORTEST_INTERVAL_NANOS + agent.targetDemand().size() * INTERVAL_NANOS_PER_FLOW;
        if (agent.maySendDemand(nowNanos, intervalNanos)) {
            send(agent, nowNanos);
        } else {
            pending.add(agent);
        }
    }

    private static boolean differs(AgentService agent) {
        for (Map.Entry<Flow, Integer> wanted : agent.targetDemand().entrySet()) {
            if (wanted.getValue() >= GROWTH * agent.sentDemand().getOrDefault(wanted.getKey(), 0)) {
                return true;
            }
        }
        return !agent.targetDemand().keySet().containsAll(agent.sentDemand().keySet());
    }

    private void send(AgentService agent, long nowNanos) {
        List<FlowDemand> demands = new ArrayList<>();
        agent.targetDemand().forEach((flow, leases) -> demands.add(demand(flow, leases, nowNanos)));
        agent.sentDemand().clear();
        agent.sentDemand().putAll(agent.targetDemand());
        agent.demandSent(nowNanos);
        context.counters().increment(EntryCounter.DEMANDS);
        context.output().send(agent.agent().incarnation(), new Demand(service, demands));
    }

    private FlowDemand demand(Flow flow, int leases, long nowNanos) {
        long waitMicros =
                flows.find(flow).map(queue -> queue.oldestWaitMicros(nowNanos)).orElse(0L);
        return new FlowDemand(flow, leases, waitMicros);
    }
}
