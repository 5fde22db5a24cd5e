package org.knapweedmount.core.agent;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.FlowDemand;
import org.knapweedmount.api.message.Start;

/** The flows of one service, their demand, and the number of slots held by flow, kind and team. */
final class FlowTable {
    private static final int MAX_FLOWS = 2_000;
    private static final int MAX_IDLE_KINDS = 256;

    private final SlotPolicy policy;
    private final Map<Flow, FlowState> flows = new HashMap<>();
    private final Map<String, KindState> kinds = new HashMap<>();
    private final Map<String, Integer> heldByTeam = new HashMap<>();
    private final Map<Incarnation, Set<FlowState>> queuedBy = new HashMap<>();
    private final Set<FlowState> backlogged = new LinkedHashSet<>();
    private double systemVirtualNanos;
    private int runningLong;

    FlowTable(SlotPolicy policy) {
        this.policy = policy;
    }

    /** Finds a flow, or creates it after removing idle flows if the table is full. */
    FlowState flow(Flow flow, long nowNanos) {
        FlowState existing = flows.get(flow);
        if (existing != null) {
            return existing;
        }
        if (flows.size() >= MAX_FLOWS) {
            removeIdle(Double.MAX_VALUE);
        }
        KindState kind = kinds.computeIfAbsent(flow.kind(), name -> newKind(name, nowNanos));
        FlowState created = new FlowState(flow, kind);
        flows.put(flow, created);
        return created;
    }

    private KindState newKind(String name, long nowNanos) {
        return new KindState(
                name, TimeUnit.MILLISECONDS.toNanos(policy.kind(name).expectedMillis()), nowNanos);
    }

    /** Replaces the demand of an entry; flows beyond the capacity of the table are ignored. */
    void demand(Incarnation entry, Collection<FlowDemand> demands, long nowNanos) {
        Set<FlowState> changed = queuedBy.getOrDefault(entry, new LinkedHashSet<>());
        changed.forEach(flow -> flow.demandOf(entry).queued(0, nowNanos));
        for (FlowDemand demand : demands) {
            if (lacksRoomFor(demand.flow())) {
                continue;
            }
            FlowState flow = flow(demand.flow(), nowNanos);
            long since = nowNanos - TimeUnit.MICROSECONDS.toNanos(demand.oldestWaitMicros());
            flow.demandOf(entry).queued(Math.max(0, demand.queued()), since);
            flow.kind().recordActivity(nowNanos);
            changed.add(flow);
        }
        List.copyOf(changed).forEach(flow -> demandChanged(flow, entry));
    }

    /**
     * Updates the demand of an entry by the queue length that a start carries.
     *
     * @return false if the table is full and does not contain the flow
     */
    boolean updateQueue(Start start, Incarnation entry, int queued, long nowNanos) {
        if (lacksRoomFor(start.flow())) {
            return false;
        }
        FlowState flow = flow(start.flow(), nowNanos);
        long since = nowNanos - TimeUnit.MICROSECONDS.toNanos(start.oldestWaitMicros());
        flow.demandOf(entry).queued(Math.max(0, queued), since);
        demandChanged(flow, entry);
        return true;
    }

    private boolean lacksRoomFor(Flow flow) {
        return flows.size() >= MAX_FLOWS && !flows.containsKey(flow);
    }

    /** Records that an entry has no queued tasks of a flow. */
    void clearQueue(FlowState flow, Incarnation entry) {
        flow.findDemand(entry).ifPresent(demand -> demand.queued(0, 0));
        demandChanged(flow, entry);
    }

    void leaseGranted(FlowState flow, Incarnation entry, long nowNanos) {
        flow.demandOf(entry).leased(nowNanos);
        flow.addLeased(1);
        flow.kind().recordActivity(nowNanos);
        addToTeam(flow, 1);
        demandChanged(flow, entry);
    }

    void leaseClosed(FlowState flow, Incarnation entry) {
        flow.demandOf(entry).unleased();
        flow.addLeased(-1);
        addToTeam(flow, -1);
        demandChanged(flow, entry);
    }

    void taskStarted(FlowState flow, boolean longTask, long nowNanos) {
        flow.kind().recordActivity(nowNanos);
        flow.addRunning(1);
        addToTeam(flow, 1);
        runningLong += longTask ? 1 : 0;
    }

    void taskEnded(FlowState flow, boolean longTask, long nowNanos) {
        flow.kind().recordActivity(nowNanos);
        flow.addRunning(-1);
        addToTeam(flow, -1);
        runningLong -= longTask ? 1 : 0;
    }

    private void addToTeam(FlowState flow, int change) {
        String team = flow.flow().team();
        int held = heldByTeam.merge(team, change, Integer::sum);
        if (held == 0) {
            heldByTeam.remove(team);
        }
    }

    private void demandChanged(FlowState flow, Incarnation entry) {
        updateBacklogged(flow);
        updateQueuedBy(flow, entry);
        flow.dropIfEmpty(entry);
    }

    private void updateQueuedBy(FlowState flow, Incarnation entry) {
        if (flow.queuedAt(entry) > 0) {
            queuedBy.computeIfAbsent(entry, name -> new LinkedHashSet<>()).add(flow);
            return;
        }
        Set<FlowState> others = queuedBy.getOrDefault(entry, Set.of());
        if (others.contains(flow) && others.remove(flow) && others.isEmpty()) {
            queuedBy.remove(entry);
        }
    }

    /**
     * Updates whether a flow is backlogged.
     *
     * <p>A flow that becomes backlogged starts at the system virtual time, so that idle time earns no credit.
     */
    private void updateBacklogged(FlowState flow) {
        if (flow.unleasedTasks() == 0) {
            backlogged.remove(flow);
            return;
        }
        if (backlogged.add(flow)) {
            raiseToSystemVirtualTime(flow);
        }
    }

    /** Raises the virtual time of a flow to the system virtual time if it lags behind. */
    void raiseToSystemVirtualTime(FlowState flow) {
        flow.virtualNanos(Math.max(flow.virtualNanos(), systemVirtualNanos));
    }

    /** Advances the system virtual time to the start tag of the task in service. */
    void advanceSystemVirtualTime(double virtualNanos) {
        systemVirtualNanos = Math.max(systemVirtualNanos, virtualNanos);
    }

    /** Returns the backlogged flows, which are those with queued tasks without a lease. */
    Set<FlowState> backlogged() {
        return Collections.unmodifiableSet(backlogged);
    }

    boolean isBacklogged(FlowState flow) {
        return backlogged.contains(flow);
    }

    /** Returns whether no entry has queued tasks. */
    boolean hasNoDemand() {
        return queuedBy.isEmpty();
    }

    Collection<KindState> kinds() {
        return Collections.unmodifiableCollection(kinds.values());
    }

    int heldByTeam(String team) {
        return heldByTeam.getOrDefault(team, 0);
    }

    int runningLong() {
        return runningLong;
    }

    /** Removes the demand of an entry. */
    void clearDemand(Incarnation entry, long nowNanos) {
        demand(entry, Set.of(), nowNanos);
    }

    /** Removes idle flows whose removal changes no decision, and unused inactive kinds if there are too many kinds. */
    void prune(long nowNanos) {
        removeIdle(systemVirtualNanos);
        if (kinds.size() <= MAX_IDLE_KINDS) {
            return;
        }
        Set<KindState> used = new LinkedHashSet<>();
        flows.values().forEach(flow -> used.add(flow.kind()));
        kinds.values().removeIf(kind -> !used.contains(kind) && !kind.active(nowNanos));
    }

    private void removeIdle(double upToVirtualNanos) {
        Iterator<FlowState> iterator = flows.values().iterator();
        while (iterator.hasNext()) {
            FlowState flow = iterator.next();
            if (flow.idle() && flow.virtualNanos() <= upToVirtualNanos) {
                iterator.remove();
            }
        }
    }
}
