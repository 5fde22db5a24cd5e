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

/** The pools of all services, and the messages that follow when their slots change hands. */
final class ServicePools {
    private final AgentPorts ports;
    private final EndpointTable endpoints;
    private final EntryTable entries;
    private final ConfigState config;
    private final LeaseNumbers numbers = new LeaseNumbers();
    private final SlotDistributor distributor;
    private final Recaller recaller;
    private final Map<String, ServicePool> pools = new LinkedHashMap<>();
    private boolean closed;

    ServicePools(AgentPorts ports, EndpointTable endpoints, EntryTable entries, ConfigState config) {
        this.ports = ports;
        this.endpoints = endpoints;
        this.entries = entries;
        this.config = config;
        this.distributor = new SlotDistributor(entries, ports);
        this.recaller = new Recaller(entries, ports);
    }

    Optional<ServicePool> find(String service) {
        return Optional.ofNullable(pools.get(service));
    }

    /** Tells an entry what there is. */
    void tell(Incarnation entry) {
        pools.values().forEach(pool -> ports.output().send(entry, pool.capacity()));
    }

    /** Gives newly linked entries their part of the slots. */
    void linked(long nowNanos) {
        for (ServicePool pool : pools.values()) {
            serve(pool, nowNanos);
            recaller.balance(pool, nowNanos);
        }
    }

    void unlinked(Incarnation entry, long nowNanos) {
        for (ServicePool pool : pools.values()) {
            pool.unlinked(entry, nowNanos);
            serve(pool, nowNanos);
        }
    }

    /** Gives the idle leases of a silent entry to others. */
    void silent(Incarnation entry) {
        pools.values().forEach(pool -> pool.silent(entry));
    }

    /** Asks an entry that was silent to drop its void leases, and grants it new ones. */
    void returned(Incarnation entry, long nowNanos) {
        for (ServicePool pool : pools.values()) {
            int lapsed = pool.book().pool(entry).takeLapsedWhileSilent();
            if (lapsed > 0) {
                ports.output().send(entry, new Recall(pool.service(), lapsed));
            }
            serve(pool, nowNanos);
            recaller.balance(pool, nowNanos);
        }
    }

    void demand(Incarnation entry, Demand demand, long nowNanos) {
        ServicePool pool = pools.get(demand.service());
        if (pool != null) {
            pool.demand(entry, demand, nowNanos);
            serve(pool, nowNanos);
        }
    }

    void released(Incarnation entry, Release release, long nowNanos) {
        ServicePool pool = pools.get(release.service());
        if (pool != null) {
            pool.released(entry, release);
            serve(pool, nowNanos);
        }
    }

    /** Takes stock of the endpoints of a service and tells the entries what has changed. */
    void measure(String service, long nowNanos) {
        ServicePool pool = pools.get(service);
        if (pool == null) {
            pool = new ServicePool(service, ports, endpoints, numbers, config);
            pool.closed(closed);
            pools.put(service, pool);
        }
        measure(pool, nowNanos);
        if (pool.unused()) {
            pools.remove(service);
        }
    }

    private void measure(ServicePool pool, long nowNanos) {
        boolean changed = pool.measure();
        if (changed && (!closed || pool.slots() == 0)) {
            entries.all().forEach(link -> ports.output().send(link.entry(), pool.capacity()));
        }
        trim(pool);
        serve(pool, nowNanos);
    }

    /** Takes back leases of slots that are gone, and asks the entries to drop them. */
    private void trim(ServicePool pool) {
        Map<Incarnation, Integer> lapsed = new HashMap<>();
        while (pool.free() < 0) {
            Optional<Lease> oldest = pool.book().oldestOfLargest();
            if (oldest.isEmpty()) {
                break;
            }
            pool.lapse(oldest.get());
            lapsed.merge(oldest.get().entry(), 1, Integer::sum);
        }
        if (pool.slots() > 0 && !closed) {
            lapsed.forEach((entry, count) -> ports.output().send(entry, new Recall(pool.service(), count)));
        }
    }

    void serve(String service, long nowNanos) {
        ServicePool pool = pools.get(service);
        if (pool != null) {
            serve(pool, nowNanos);
        }
    }

    void serveAll(long nowNanos) {
        pools.values().forEach(pool -> serve(pool, nowNanos));
    }

    private void serve(ServicePool pool, long nowNanos) {
        send(distributor.distribute(pool, Optional.empty(), nowNanos));
        recaller.recall(pool, nowNanos);
    }

    /** Grants the slot of a task that has ended, and returns the grant for the entry that sent the task. */
    Optional<Grant> passOn(RunningTask ended, long nowNanos) {
        ServicePool pool = ended.pool();
        trim(pool);
        List<GrantPlan.Addressed> grants = new ArrayList<>(distributor.distribute(pool, Optional.of(ended), nowNanos));
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

    private void send(List<GrantPlan.Addressed> grants) {
        grants.forEach(grant -> ports.output().send(grant.entry(), grant.grant()));
    }

    /** Closes all pools to new tasks while the agent drains, or opens them again. */
    void closed(boolean drains) {
        closed = drains;
        for (ServicePool pool : pools.values()) {
            pool.closed(drains);
            trim(pool);
        }
    }

    void tick(long nowNanos) {
        for (String service : List.copyOf(pools.keySet())) {
            ServicePool pool = pools.get(service);
            pool.tick(nowNanos);
            measure(service, nowNanos);
            recaller.tick(pool, nowNanos);
        }
    }

    /** Tells whether no entry has told of a queued task. */
    boolean noneQueued() {
        for (ServicePool pool : pools.values()) {
            if (!pool.flows().noneQueued()) {
                return false;
            }
        }
        return true;
    }
}
