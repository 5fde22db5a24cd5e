package org.knapweedmount.core.entry;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The services that have agents or tasks. */
final class ServiceRegistry {
    private final EntryContext context;
    private final RunTimes runTimes;
    private final Map<String, ServiceState> byName = new LinkedHashMap<>();

    ServiceRegistry(EntryContext context, RunTimes runTimes) {
        this.context = context;
        this.runTimes = runTimes;
    }

    ServiceState findOrCreate(String name) {
        return byName.computeIfAbsent(name, unused -> new ServiceState(context, name, runTimes));
    }

    Optional<ServiceState> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns whether a task may be sent to some agent now. */
    boolean hasAgentFor(TaskRun task, long nowNanos) {
        return find(task.submission().service())
                .filter(service ->
                        service.agents().stream().anyMatch(agentService -> agentService.accepts(task, nowNanos)))
                .isPresent();
    }

    Collection<ServiceState> all() {
        return byName.values();
    }
}
