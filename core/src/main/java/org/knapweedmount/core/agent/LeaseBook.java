package org.knapweedmount.core.agent;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.LeaseScope;

/** The idle leases of one service, indexed by the entry that holds them. */
final class LeaseBook {
    private final Map<Incarnation, EntryPool> pools = new LinkedHashMap<>();
    private int idle;
    private int idleAny;

    /** Finds or creates the leases of a linked entry. */
    EntryPool pool(Incarnation entry) {
        return pools.computeIfAbsent(entry, name -> new EntryPool());
    }

    Map<Incarnation, EntryPool> pools() {
        return pools;
    }

    void add(Lease lease) {
        pool(lease.entry()).add(lease);
        idle++;
        idleAny += lease.scope() == LeaseScope.ANY ? 1 : 0;
    }

    /** Removes and returns a lease of an entry, empty if the entry has no such idle lease. */
    Optional<Lease> take(Incarnation entry, long number) {
        EntryPool pool = pools.get(entry);
        if (pool == null) {
            return Optional.empty();
        }
        int anyBefore = pool.idleAny();
        Optional<Lease> lease = pool.take(number);
        idle -= lease.isPresent() ? 1 : 0;
        idleAny -= anyBefore - pool.idleAny();
        return lease;
    }

    /** Returns the idle leases of an entry, oldest first. */
    List<Lease> leasesOf(Incarnation entry) {
        EntryPool pool = pools.get(entry);
        return pool == null ? List.of() : pool.all();
    }

    void remove(Incarnation entry) {
        pools.remove(entry);
    }

    /** Finds the oldest lease of the entry with the most idle leases. */
    Optional<Lease> oldestOfLargest() {
        EntryPool largest = null;
        for (EntryPool pool : pools.values()) {
            if (largest == null || pool.idle() > largest.idle()) {
                largest = pool;
            }
        }
        return largest == null ? Optional.empty() : largest.oldest();
    }

    int idle(Incarnation entry) {
        EntryPool pool = pools.get(entry);
        return pool == null ? 0 : pool.idle();
    }

    int idle() {
        return idle;
    }

    /** Returns the number of idle leases that tasks of any kind may use. */
    int idleAny() {
        return idleAny;
    }

    /** Returns the number of leases in recalls that are not answered yet. */
    int pending() {
        int pending = 0;
        for (EntryPool pool : pools.values()) {
            pending += pool.pending();
        }
        return pending;
    }
}
