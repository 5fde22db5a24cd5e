package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.Release;
import org.knapweedmount.core.config.ConfigState;

/** The slot pools of all services; sends the grants, recalls and capacities that result from changes to them. */
final class ServicePools {
    private final AgentContext context;
    private final EndpointTable endpoints;
    private final EntryTable entries;
    private final ConfigState config;
    private final LeaseNumbers numbers = new LeaseNumbers();
    private final SlotDistributor distributor;
    private final LeaseRecaller recaller;
    private final Map<String, ServicePool> pools = new LinkedHashMap<>();
    private boolean closed;

    ServicePools(AgentContext context, EndpointTable endpoints, EntryTable entries, ConfigState config) {
        this.context = context;
        this.endpoints = endpoints;
        this.entries = entries;
        this.config = config;
        this.distributor = new SlotDistributor(entries, context);
        this.recaller = new LeaseRecaller(entries, context);
    }

    Optional<ServicePool> find(String service) {
        return Optional.ofNullable(pools.get(service));
    }

    /** Sends the capacity of each service to an entry. */
    void sendCapacities(Incarnation entry) {
        pools.values().forEach(pool -> context.output().send(entry, pool.capacity()));
    }

    /** Gives newly linked entries a share of the slots. */
    void linked(long nowNanos) {
        for (ServicePool pool : pools.values()) {
            distribute(pool, nowNanos);
            recaller.rebalance(pool, nowNanos);
        }
    }

    void unlinked(Incarnation entry, long nowNanos) {
        for (ServicePool pool : pools.values()) {
            pool.unlinked(entry, nowNanos);
            distribute(pool, nowNanos);
        }
    }

    /** Revokes the idle leases of an unresponsive entry. */
    void entryUnresponsive(Incarnation entry) {
        pools.values().forEach(pool -> pool.revokeUnresponsive(entry));
    }

    /** Recalls the revoked leases from an entry that responds again, and grants it new ones. */
    void entryResponsive(Incarnation entry, long nowNanos) {
        for (ServicePool pool : pools.values()) {
            int revoked = pool.idleLeases().entryLeases(entry).takeRevokedWhileUnresponsive();
            if (revoked > 0) {
                context.output().send(entry, new Recall(pool.service(), revoked));
            }
            distribute(pool, nowNanos);
            recaller.rebalance(pool, nowNanos);
        }
    }

    void demand(Incarnation entry, Demand demand, long nowNanos) {
        ServicePool pool = pools.get(demand.service());
        if (pool != null) {
            pool.demand(entry, demand, nowNanos);
            distribute(pool, nowNanos);
        }
    }

    void released(Incarnation entry, Release release, long nowNanos) {
        ServicePool pool = pools.get(release.service());
        if (pool != null) {
            pool.released(entry, release);
            distribute(pool, nowNanos);
        }
    }

    /** Recomputes the capacity of a service, reports a change to the entries, and distributes free slots. */
    void updateCapacity(String service, long nowNanos) {
        ServicePool pool = pools.get(service);
        if (pool == null) {
            pool = new ServicePool(service, context, endpoints, numbers, config);
            pool.closed(closed);
            pools.put(service, pool);
        }
        updateCapacity(pool, nowNanos);
        if (pool.isUnused()) {
            pools.remove(service);
        }
    }

    private void updateCapacity(ServicePool pool, long nowNanos) {
        boolean changed = pool.updateCapacity();
        if (changed && (!closed || pool.slots() == 0)) {
            entries.all().forEach(link -> context.output().send(link.entry(), pool.capacity()));
        }
        revokeExcessLeases(pool);
        distribute(pool, nowNanos);
    }

    /** Revokes the leases that exceed the open slots, and recalls them from the entries. */
    private void revokeExcessLeases(ServicePool pool) {
        Map<Incarnation, Integer> revoked = new HashMap<>();
        while (pool.free() < 0) {
            Optional<Lease> oldest = pool.idleLeases().oldestOfLargestHolder();
            if (oldest.isEmpty()) {
                break;
            }
            pool.revoke(oldest.get());
            revoked.merge(oldest.get().entry(), 1, Integer::sum);
        }
        if (pool.slots() > 0 && !closed) {
            revoked.forEach((entry, count) -> context.output().send(entry, new Recall(pool.service(), count)));
        }
    }

    void distribute(String service, long nowNanos) {
        ServicePool pool = pools.get(service);
        if (pool != null) {
            distribute(pool, nowNanos);
        }
    }

    void distributeAll(long nowNanos) {
        pools.values().forEach(pool -> distribute(pool, nowNanos));
    }

    private void distribute(ServicePool pool, long nowNanos) {
        send(distributor.distribute(pool, Optional.empty(), nowNanos));
        recaller.recall(pool, nowNanos);
    }

    /** Grants the slot freed by a task, and returns the grant, if any, for the entry that sent the task. */
    Optional<Grant> regrantSlot(RunningTask ended, long nowNanos) {
        ServicePool pool = ended.pool();
        revokeExcessLeases(pool);
        List<GrantBatch.AddressedGrant> grants =
                new ArrayList<>(distributor.distribute(pool, Optional.of(ended), nowNanos));
        for (int i = 0; i < grants.size(); i++) {
            if (grants.get(i).entry().equals(ended.entry())) {
                Optional<Grant> next = Optional.of(grants.remove(i).grant());
                send(grants);
                return next;
            }
        }
        send(grants);
        return Optional.empty();
    }

    private void send(List<GrantBatch.AddressedGrant> grants) {
        grants.forEach(grant -> context.output().send(grant.entry(), grant.grant()));
    }

    /** Closes all pools to new tasks while the agent is draining, or reopens them. */
    void closed(boolean draining) {
        closed = draining;
        for (ServicePool pool : pools.values()) {
            pool.closed(draining);
            revokeExcessLeases(pool);
        }
    }

    void tick(long nowNanos) {
        for (String service : List.copyOf(pools.keySet())) {
            ServicePool pool = pools.get(service);
            pool.tick(nowNanos);
            updateCapacity(service, nowNanos);
            recaller.recallStale(pool, nowNanos);
        }
    }

    /** Returns whether no entry has reported a queued task. */
    boolean hasNoDemand() {
        for (ServicePool pool : pools.values()) {
            if (!pool.flows().hasNoDemand()) {
                return false;
            }
        }
        return true;
    }
}
