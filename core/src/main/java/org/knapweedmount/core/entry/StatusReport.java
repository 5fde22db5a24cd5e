package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;

/** Builds the status of an entry for operators. */
final class StatusReport {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private StatusReport() {}

    static EntryStatus of(ServiceRegistry services, LocalRoster roster, boolean draining, long nowNanos) {
        List<AgentStatus> agents = new ArrayList<>();
        List<QueueStatus> queues = new ArrayList<>();
        for (ServiceState service : services.all()) {
            service.agents().forEach(agentService -> agents.add(agent(service, agentService, nowNanos)));
            service.queues().backlog().forEach(queue -> queues.add(queue(service, queue, nowNanos)));
        }
        return new EntryStatus(draining, List.copyOf(roster.linkedEntries()), agents, queues);
    }

    private static AgentStatus agent(ServiceState service, AgentService agentService, long nowNanos) {
        return new AgentStatus(
                agentService.agent().incarnation(),
                agentService.agent().address().dataCentre(),
                service.name(),
                agentService.slots(),
                service.leases().count(agentService),
                agentService.agent().available(nowNanos));
    }

    private static QueueStatus queue(ServiceState service, FlowQueue queue, long nowNanos) {
        long waitedNanos =
                queue.oldest().map(task -> nowNanos - task.queuedNanos()).orElse(0L);
        return new QueueStatus(service.name(), queue.flow(), queue.size(), waitedNanos / NANOS_PER_MILLI);
    }
}
