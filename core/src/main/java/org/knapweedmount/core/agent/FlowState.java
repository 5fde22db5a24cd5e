package org.knapweedmount.core.agent;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;

/** State of one flow of a service: its virtual time, its demand at each entry, and the slots that it holds. */
final class FlowState {
    private final Flow flow;
    private final KindState kind;
    private final Map<Incarnation, EntryDemand> demands = new LinkedHashMap<>();
    private double virtualNanos;
    private Resources refusedResources = Resources.NONE;
    private int running;
    private int leased;

    FlowState(Flow flow, KindState kind) {
        this.flow = flow;
        this.kind = kind;
    }

    Flow flow() {
        return flow;
    }

    KindState kind() {
        return kind;
    }

    double virtualNanos() {
        return virtualNanos;
    }

    void virtualNanos(double nanos) {
        virtualNanos = nanos;
    }

    /** Returns the resources of the last task refused for lack of room; reset when a task of the flow is started. */
    Resources refusedResources() {
        return refusedResources;
    }

    void refusedResources(Resources resources) {
        refusedResources = resources;
    }

    EntryDemand demandOf(Incarnation entry) {
        return demands.computeIfAbsent(entry, name -> new EntryDemand());
    }

    Optional<EntryDemand> findDemand(Incarnation entry) {
        return Optional.ofNullable(demands.get(entry));
    }

    void dropIfEmpty(Incarnation entry) {
        EntryDemand demand = demands.get(entry);
        if (demand != null && demand.empty()) {
            demands.remove(entry);
        }
    }

    /** Returns the number of queued tasks without a lease at all entries. */
    int unleasedTasks() {
        int count = 0;
        for (EntryDemand demand : demands.values()) {
            count += demand.unleasedTasks();
        }
        return count;
    }

    /** Returns the last reported number of queued tasks at an entry. */
    int queuedAt(Incarnation entry) {
        EntryDemand demand = demands.get(entry);
        return demand == null ? 0 : demand.queuedTasks();
    }

    /** Adds the entries that have queued tasks without a lease to a set. */
    void addBackloggedEntries(Set<Incarnation> entries) {
        demands.forEach((entry, demand) -> {
            if (demand.unleasedTasks() > 0) {
                entries.add(entry);
            }
        });
    }

    /** Returns the number of queued tasks without a lease at the accepted entries. */
    int unleasedTasks(Predicate<Incarnation> entries) {
        int count = 0;
        for (Map.Entry<Incarnation, EntryDemand> entry : demands.entrySet()) {
            if (entries.test(entry.getKey())) {
                count += entry.getValue().unleasedTasks();
            }
        }
        return count;
    }

    /** Finds the accepted entry whose oldest queued task has waited longest. */
    Optional<Incarnation> longestWaiting(Predicate<Incarnation> entries) {
        Incarnation found = null;
        long oldest = 0;
        for (Map.Entry<Incarnation, EntryDemand> entry : demands.entrySet()) {
            EntryDemand demand = entry.getValue();
            if (demand.unleasedTasks() == 0 || !entries.test(entry.getKey())) {
                continue;
            }
            if (found == null || demand.oldestNanos() - oldest < 0) {
                found = entry.getKey();
                oldest = demand.oldestNanos();
            }
        }
        return Optional.ofNullable(found);
    }

    void addRunning(int change) {
        running += change;
        kind.addRunning(change);
    }

    void addLeased(int change) {
        leased += change;
        kind.addLeased(change);
    }

    int held() {
        return running + leased;
    }

    /** Returns whether the flow holds no slots and has no demand, so that only its virtual time is worth keeping. */
    boolean idle() {
        return running == 0 && leased == 0 && demands.isEmpty();
    }
}
