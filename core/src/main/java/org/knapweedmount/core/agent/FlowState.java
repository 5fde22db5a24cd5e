package org.knapweedmount.core.agent;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;

/** What is known of one flow of a service: its virtual time, its demand at each entry and the slots that it holds. */
final class FlowState {
    private final Flow flow;
    private final KindState kind;
    private final Map<Incarnation, EntryDemand> demands = new LinkedHashMap<>();
    private double virtualNanos;
    private Resources refusedNeed = Resources.NONE;
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

    /** Returns what the last task needed that was refused for lack of room, nothing after a start. */
    Resources refusedNeed() {
        return refusedNeed;
    }

    void refusedNeed(Resources need) {
        refusedNeed = need;
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

    /** Counts the queued tasks without a lease at all entries. */
    int need() {
        int need = 0;
        for (EntryDemand demand : demands.values()) {
            need += demand.need();
        }
        return need;
    }

    /** Counts the tasks that an entry has queued, as last told. */
    int queuedAt(Incarnation entry) {
        EntryDemand demand = demands.get(entry);
        return demand == null ? 0 : demand.tasks();
    }

    /** Adds the entries with queued tasks that have no lease. */
    void addWanting(Set<Incarnation> entries) {
        demands.forEach((entry, demand) -> {
            if (demand.need() > 0) {
                entries.add(entry);
            }
        });
    }

    /** Counts the queued tasks without a lease at some entries. */
    int need(Predicate<Incarnation> entries) {
        int need = 0;
        for (Map.Entry<Incarnation, EntryDemand> entry : demands.entrySet()) {
            if (entries.test(entry.getKey())) {
                need += entry.getValue().need();
            }
        }
        return need;
    }

    /** Finds the entry whose oldest task has waited longest. */
    Optional<Incarnation> longestWaiting(Predicate<Incarnation> entries) {
        Incarnation found = null;
        long oldest = 0;
        for (Map.Entry<Incarnation, EntryDemand> entry : demands.entrySet()) {
            EntryDemand demand = entry.getValue();
            if (demand.need() == 0 || !entries.test(entry.getKey())) {
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

    /** Tells whether nothing would be lost but its virtual time if it were forgotten. */
    boolean idle() {
        return running == 0 && leased == 0 && demands.isEmpty();
    }
}
