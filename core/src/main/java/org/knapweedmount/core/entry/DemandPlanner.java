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
 * Requests leases from agents for the queued tasks of one service.
 *
 * <p>For each queued task, a lease is requested from the one agent that last reported the most other idle slots. If no
 * agent reported any, a few agents are asked, and more as long as none grants a lease. An agent is asked for its part
 * of the queue only: if each agent were asked for the whole of it, all would reserve slots for the same few tasks.
 *
 * <p>A demand is valid until it is replaced, and each start updates the number of leases that its agent is asked for.
 * So a demand is sent again only if a flow is added, removed, or needs at least {@code RESEND_GROWTH_FACTOR} times the
 * leases in the last demand, or if no task of a flow was started for a while although all agents have been asked.
 */
final class DemandPlanner {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_DEMAND_INTERVAL_NANOS = 5 * NANOS_PER_MILLI;
    private static final long DEMAND_INTERVAL_NANOS_PER_FLOW = NANOS_PER_MILLI / 20;
    private static final long WITHDRAWAL_DELAY_NANOS = 2 * NANOS_PER_MILLI;
    private static final int TARGET_LEASES_PER_TASK = 2;
    private static final int MAX_LEASES_PER_TASK = 4;
    private static final int MAX_AGENTS_ADDED = 4;
    private static final int RESEND_GROWTH_FACTOR = 4;

    private final EntryContext context;
    private final String service;
    private final FairQueues queues;
    private final List<AgentService> agents;
    private final Map<Flow, FlowLeaseDemand> demandByFlow = new HashMap<>();
    private final Set<Flow> emptiedFlows = new LinkedHashSet<>();
    private final Set<AgentService> deferred = new LinkedHashSet<>();
    private int lastAgentIndex;

    /**
     * Creates a planner for a service without queued tasks.
     *
     * @param context the shared context of the entry
     * @param service the name of the service
     * @param queues the queues of the service
     * @param agents a view of the agents of the service
     */
    DemandPlanner(EntryContext context, String service, FairQueues queues, List<AgentService> agents) {
        this.context = context;
        this.service = service;
        this.queues = queues;
        this.agents = agents;
    }

    /** Requests leases for the tasks of a queue if there are fewer requests than tasks. */
    void tasksQueued(FlowQueue queue, long nowNanos) {
        FlowLeaseDemand demand =
                demandByFlow.computeIfAbsent(queue.flow(), flow -> new FlowLeaseDemand(flow, nowNanos));
        if (demand.queueRefilled()) {
            demand.recordProgress(nowNanos);
        }
        while (demand.totalLeases() < queue.size()) {
            Optional<AgentService> idleAgent = agentWithMostIdleSlots(queue);
            if (idleAgent.isEmpty()) {
                distribute(queue, demand, nowNanos);
                return;
            }
            AgentService agentService = idleAgent.get();
            agentService.otherIdleSlots(agentService.otherIdleSlots() - 1);
            demand.setLeases(agentService, demand.leases(agentService) + 1);
            sendOrDefer(agentService, nowNanos);
        }
    }

    /** Records that a queue has become empty. */
    void queueEmptied(FlowQueue queue, long nowNanos) {
        FlowLeaseDemand demand = demandByFlow.get(queue.flow());
        if (demand != null) {
            demand.queueEmptied(nowNanos);
            emptiedFlows.add(queue.flow());
        }
    }

    /** Records a start and returns the number of leases that the agent is asked for from now on. */
    int taskStarted(AgentService agentService, FlowQueue queue, long nowNanos) {
        FlowLeaseDemand demand = demandByFlow.get(queue.flow());
        if (demand == null) {
            return 0;
        }
        demand.recordProgress(nowNanos);
        int otherLeases = demand.totalLeases() - demand.leases(agentService);
        int minimum = otherLeases < MAX_LEASES_PER_TASK * queue.size() ? 1 : 0;
        int leases = Math.max(minimum, Math.min(queue.size(), TARGET_LEASES_PER_TASK * queue.size() - otherLeases));
        demand.setLeases(agentService, leases);
        if (leases > 0) {
            agentService.sentDemand().put(queue.flow(), leases);
        } else {
            agentService.sentDemand().remove(queue.flow());
        }
        return leases;
    }

    /** Withdraws the demand for a flow without queued tasks from an agent that has granted a lease for it. */
    void leaseUnused(AgentService agentService, Flow flow, long nowNanos) {
        FlowLeaseDemand demand = demandByFlow.get(flow);
        if (demand != null && demand.leases(agentService) > 0) {
            demand.setLeases(agentService, 0);
            sendOrDefer(agentService, nowNanos);
        }
    }

    void agentUnavailable(AgentService agentService) {
        deferred.remove(agentService);
        demandByFlow.values().forEach(demand -> demand.setLeases(agentService, 0));
    }

    /** Withdraws, extends and sends the demands that are due. */
    void tick(long nowNanos) {
        withdraw(nowNanos);
        for (FlowQueue queue : queues.backlog()) {
            tasksQueued(queue, nowNanos);
            FlowLeaseDemand demand = demandByFlow.get(queue.flow());
            if (demand.stalled(nowNanos)) {
                askMoreAgents(queue, demand, nowNanos);
            }
        }
        List<AgentService> due = new ArrayList<>(deferred);
        deferred.clear();
        due.forEach(agentService -> sendOrDefer(agentService, nowNanos));
    }

    private Optional<AgentService> agentWithMostIdleSlots(FlowQueue queue) {
        AgentService best = null;
        for (AgentService agentService : agents) {
            boolean better = agentService.otherIdleSlots() > (best == null ? 0 : best.otherIdleSlots());
            if (better && canServe(agentService, queue)) {
                best = agentService;
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean canServe(AgentService agentService, FlowQueue queue) {
        return agentService.agent().acceptsWork()
                && queue.firstFor(agentService).isPresent();
    }

    /** Divides the leases that have not been requested yet equally among the next agents in turn. */
    private void distribute(FlowQueue queue, FlowLeaseDemand demand, long nowNanos) {
        int missing = TARGET_LEASES_PER_TASK * queue.size() - demand.totalLeases();
        int leasesPerAgent = agents.isEmpty() ? 0 : (missing + agents.size() - 1) / agents.size();
        for (int i = 0; i < agents.size() && missing > 0; i++) {
            AgentService agentService = nextAgent();
            int before = demand.leases(agentService);
            int after = Math.min(queue.size(), before + Math.min(leasesPerAgent, missing));
            if (after > before && canServe(agentService, queue)) {
                missing -= after - before;
                demand.setLeases(agentService, after);
                sendOrDefer(agentService, nowNanos);
            }
        }
    }

    /** Asks up to twice as many agents because none has granted a lease in time, or sends the demand again to one. */
    private void askMoreAgents(FlowQueue queue, FlowLeaseDemand demand, long nowNanos) {
        int missing = Math.max(1, Math.min(demand.agentCount(), MAX_AGENTS_ADDED));
        for (int i = 0; i < agents.size() && missing > 0; i++) {
            AgentService agentService = nextAgent();
            if (demand.leases(agentService) == 0 && canServe(agentService, queue)) {
                missing--;
                demand.setLeases(agentService, 1);
                sendOrDefer(agentService, nowNanos);
            }
        }
        if (demand.allAgentsAsked() && missing > 0 && demand.agentCount() > 0) {
            resendToNextAgent(queue, demand, nowNanos);
        }
        demand.recordAgentsAsked(missing > 0, nowNanos);
    }

    private void resendToNextAgent(FlowQueue queue, FlowLeaseDemand demand, long nowNanos) {
        AgentService agentService = nextAgent();
        while (demand.leases(agentService) == 0) {
            agentService = nextAgent();
        }
        agentService.sentDemand().remove(queue.flow());
        sendOrDefer(agentService, nowNanos);
    }

    private AgentService nextAgent() {
        lastAgentIndex = (lastAgentIndex + 1) % agents.size();
        return agents.get(lastAgentIndex);
    }

    private void withdraw(long nowNanos) {
        Iterator<Flow> iterator = emptiedFlows.iterator();
        while (iterator.hasNext()) {
            Flow flow = iterator.next();
            FlowLeaseDemand demand = demandByFlow.get(flow);
            if (!demand.queueEmpty()) {
                iterator.remove();
            } else if (demand.queueEmptyFor(nowNanos, WITHDRAWAL_DELAY_NANOS)) {
                iterator.remove();
                demandByFlow.remove(flow);
                demand.withdraw().forEach(agentService -> sendOrDefer(agentService, nowNanos));
            }
        }
    }

    /** Sends an agent its demand, or defers it if the last one was sent too recently. */
    private void sendOrDefer(AgentService agentService, long nowNanos) {
        if (!needsSending(agentService)) {
            return;
        }
        long intervalNanos =
                MIN_DEMAND_INTERVAL_NANOS + agentService.targetDemand().size() * DEMAND_INTERVAL_NANOS_PER_FLOW;
        if (agentService.maySendDemand(nowNanos, intervalNanos)) {
            send(agentService, nowNanos);
        } else {
            deferred.add(agentService);
        }
    }

    private static boolean needsSending(AgentService agentService) {
        for (Map.Entry<Flow, Integer> target : agentService.targetDemand().entrySet()) {
            if (target.getValue()
                    >= RESEND_GROWTH_FACTOR * agentService.sentDemand().getOrDefault(target.getKey(), 0)) {
                return true;
            }
        }
        return !agentService
                .targetDemand()
                .keySet()
                .containsAll(agentService.sentDemand().keySet());
    }

    private void send(AgentService agentService, long nowNanos) {
        List<FlowDemand> demands = new ArrayList<>();
        agentService.targetDemand().forEach((flow, leases) -> demands.add(demand(flow, leases, nowNanos)));
        agentService.sentDemand().clear();
        agentService.sentDemand().putAll(agentService.targetDemand());
        agentService.demandSent(nowNanos);
        context.counters().increment(EntryCounter.DEMANDS);
        context.output().send(agentService.agent().incarnation(), new Demand(service, demands));
    }

    private FlowDemand demand(Flow flow, int leases, long nowNanos) {
        long waitMicros =
                queues.find(flow).map(queue -> queue.oldestWaitMicros(nowNanos)).orElse(0L);
        return new FlowDemand(flow, leases, waitMicros);
    }
}
