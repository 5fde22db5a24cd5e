package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.FlowDemand;

/**
 * Tells agents of the queued tasks of one service that have no lease.
 *
 * <p>Each queued task is asked of the one agent that last reported the most slots free elsewhere. If no agent reported
 * any, or the task waits on, all agents are asked. A demand stands until it is replaced, and each start updates the
 * queue length that its agent knows, so a demand is sent again only when a flow becomes non-empty, becomes empty for
 * good, or has grown much.
 */
final class DemandPlanner {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long SHORTEST_INTERVAL_NANOS = 5 * NANOS_PER_MILLI;
    private static final long INTERVAL_NANOS_PER_AGENT_AND_FLOW = NANOS_PER_MILLI / 10;
    private static final long WITHDRAWAL_DELAY_NANOS = 20 * NANOS_PER_MILLI;
    private static final long WIDENING_DELAY_NANOS = 5 * NANOS_PER_MILLI;
    private static final int GROWTH = 4;

    private final EntryContext context;
    private final String service;
    private final ServiceFlows flows;
    private final Collection<AgentService> agents;
    private final Map<Flow, FlowAsk> asks = new HashMap<>();
    private final Set<Flow> emptied = new LinkedHashSet<>();
    private final Set<AgentService> pending = new LinkedHashSet<>();

    /**
     * Creates a planner for a service without queued tasks.
     *
     * @param context what all parts share
     * @param service the name of the service
     * @param flows the queues of the service
     * @param agents a view of the agents of the service
     */
    DemandPlanner(EntryContext context, String service, ServiceFlows flows, Collection<AgentService> agents) {
        this.context = context;
        this.service = service;
        this.flows = flows;
        this.agents = agents;
    }

    /** Asks for leases for tasks that were added to a queue and found none. */
    void queued(FlowQueue queue, int added, long nowNanos) {
        FlowAsk ask = asks.computeIfAbsent(queue.flow(), unused -> new FlowAsk());
        ask.refilled();
        for (int i = 0; i < added && !ask.everywhere(); i++) {
            Optional<AgentService> hinted = mostFreeElsewhere();
            if (hinted.isEmpty()) {
                widen(queue, ask, nowNanos);
            } else {
                askOne(hinted.get(), queue.flow(), ask, nowNanos);
            }
        }
        if (ask.everywhere()) {
            remind(queue, ask, nowNanos);
        }
    }

    /** Notes that a queue has become empty. */
    void emptied(FlowQueue queue, long nowNanos) {
        FlowAsk ask = asks.get(queue.flow());
        if (ask != null && ask.empty(nowNanos)) {
            emptied.add(queue.flow());
        }
    }

    /** Notes the queue length that an agent is told by a start. */
    void started(AgentService agent, Flow flow, int queued) {
        if (queued > 0) {
            agent.told().put(flow, queued);
            return;
        }
        agent.told().remove(flow);
        FlowAsk ask = asks.get(flow);
        if (ask != null) {
            ask.outdated().add(agent);
        }
    }

    /** Lets an agent know the present demand if there is any. */
    void joined(AgentService agent, long nowNanos) {
        if (!flows.isEmpty()) {
            update(agent, nowNanos);
        }
    }

    void left(AgentService agent) {
        pending.remove(agent);
        for (FlowAsk ask : asks.values()) {
            ask.asked().remove(agent);
            ask.outdated().remove(agent);
        }
    }

    /** Sends what is due by now. */
    void tick(long nowNanos) {
        withdraw(nowNanos);
        for (FlowQueue queue : flows.backlog()) {
            FlowAsk ask = asks.get(queue.flow());
            if (ask != null && !ask.everywhere() && waits(queue, nowNanos)) {
                widen(queue, ask, nowNanos);
            }
        }
        List<AgentService> due = new ArrayList<>(pending);
        pending.clear();
        due.forEach(agent -> update(agent, nowNanos));
    }

    private static boolean waits(FlowQueue queue, long nowNanos) {
        return queue.oldest()
                .filter(task -> nowNanos - task.queuedNanos() >= WIDENING_DELAY_NANOS)
                .isPresent();
    }

    private Optional<AgentService> mostFreeElsewhere() {
        AgentService best = null;
        for (AgentService agent : agents) {
            boolean candidate = agent.freeElsewhere() > 0 && agent.agent().open();
            if (candidate && (best == null || agent.freeElsewhere() > best.freeElsewhere())) {
                best = agent;
            }
        }
        return Optional.ofNullable(best);
    }

    private void askOne(AgentService agent, Flow flow, FlowAsk ask, long nowNanos) {
        agent.freeElsewhere(agent.freeElsewhere() - 1);
        agent.asked().merge(flow, 1, Integer::sum);
        ask.asked().add(agent);
        update(agent, nowNanos);
    }

    private void widen(FlowQueue queue, FlowAsk ask, long nowNanos) {
        forgetAsked(queue.flow(), ask);
        ask.announced(queue.size());
        agents.forEach(agent -> update(agent, nowNanos));
    }

    /** Tells the agents that believe the queue empty, once they are so many that the others do not suffice. */
    private void remind(FlowQueue queue, FlowAsk ask, long nowNanos) {
        if (2 * ask.outdated().size() >= agents.size()) {
            ask.outdated().forEach(agent -> update(agent, nowNanos));
            ask.outdated().clear();
        }
        if (hasGrown(ask.announcedSize(), queue.size())) {
            widen(queue, ask, nowNanos);
        }
    }

    /** Tells whether a queue is much longer than all agents together believe. */
    private boolean hasGrown(int told, int queued) {
        return queued >= GROWTH * told && queued > agents.size();
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
                forgetAsked(flow, ask);
                asks.remove(flow);
                agents.stream().filter(agent -> agent.told().containsKey(flow)).forEach(pending::add);
            }
        }
    }

    private static void forgetAsked(Flow flow, FlowAsk ask) {
        ask.asked().forEach(agent -> agent.asked().remove(flow));
        ask.asked().clear();
    }

    /** Sends an agent its demand, or notes it as pending if the last one was sent too recently. */
    private void update(AgentService agent, long nowNanos) {
        int parts = agents.size() + flows.backlog().size();
        long intervalNanos = SHORTEST_INTERVAL_NANOS + parts * INTERVAL_NANOS_PER_AGENT_AND_FLOW;
        if (!agent.maySend(nowNanos, intervalNanos)) {
            pending.add(agent);
            return;
        }
        Map<Flow, FlowDemand> wanted = wanted(agent, nowNanos);
        if (differs(agent, wanted)) {
            send(agent, wanted, nowNanos);
        }
    }

    private Map<Flow, FlowDemand> wanted(AgentService agent, long nowNanos) {
        Map<Flow, FlowDemand> wanted = new LinkedHashMap<>();
        for (FlowQueue queue : flows.backlog()) {
            FlowAsk ask = asks.get(queue.flow());
            boolean useful = ask != null && queue.firstFor(agent).isPresent();
            int queued = useful ? queued(queue, ask, agent) : 0;
            if (queued > 0) {
                long waitedNanos =
                        nowNanos - queue.oldest().map(TaskRun::queuedNanos).orElse(nowNanos);
                wanted.put(queue.flow(), new FlowDemand(queue.flow(), queued, waitedNanos / NANOS_PER_MICRO));
            }
        }
        return wanted;
    }

    private static int queued(FlowQueue queue, FlowAsk ask, AgentService agent) {
        if (ask.everywhere()) {
            return queue.size();
        }
        return Math.min(queue.size(), agent.asked().getOrDefault(queue.flow(), 0));
    }

    private boolean differs(AgentService agent, Map<Flow, FlowDemand> wanted) {
        for (FlowDemand demand : wanted.values()) {
            int told = agent.told().getOrDefault(demand.flow(), 0);
            if (told == 0 || hasGrown(told, demand.queued())) {
                return true;
            }
        }
        for (Flow flow : agent.told().keySet()) {
            if (!wanted.containsKey(flow) && !asks.containsKey(flow)) {
                return true;
            }
        }
        return false;
    }

    private void send(AgentService agent, Map<Flow, FlowDemand> wanted, long nowNanos) {
        agent.told().clear();
        wanted.forEach((flow, demand) -> agent.told().put(flow, demand.queued()));
        agent.sent(nowNanos);
        context.counters().increment(EntryCounter.DEMANDS);
        Demand demand = new Demand(service, new ArrayList<>(wanted.values()));
        context.output().send(agent.agent().incarnation(), demand);
    }
}
