package org.knapweedmount.core.agent;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.LeaseScope;

/** The idle leases of one service, indexed by the entry that holds them. */
final class IdleLeaseTable {
    private final Map<Incarnation, EntryLeases> leasesByEntry = new LinkedHashMap<>();
    private int idle;
    private int idleAny;

    /** Finds or creates the leases of a linked entry. */
    EntryLeases entryLeases(Incarnation entry) {
        return leasesByEntry.computeIfAbsent(entry, name -> new EntryLeases());
    }

    Map<Incarnation, EntryLeases> leasesByEntry() {
        return leasesByEntry;
    }

    void add(Lease lease) {
        entryLeases(lease.entry()).add(lease);
        idle++;
        idleAny += lease.scope() == LeaseScope.ANY ? 1 : 0;
    }

    /** Removes and returns a lease of an entry, empty if the entry has no such idle lease. */
    Optional<Lease> take(Incarnation entry, long number) {
        EntryLeases leases = leasesByEntry.get(entry);
        if (leases == null) {
            return Optional.empty();
        }
        int anyBefore = leases.idleAny();
        Optional<Lease> lease = leases.take(number);
        idle -= lease.isPresent() ? 1 : 0;
        idleAny -= anyBefore - leases.idleAny();
        return lease;
    }

    /** Returns the idle leases of an entry, oldest first. */
    List<Lease> leasesOf(Incarnation entry) {
        EntryLeases leases = leasesByEntry.get(entry);
        return leases == null ? List.of() : leases.all();
    }

    void remove(Incarnation entry) {
        leasesByEntry.remove(entry);
    }

    /** Finds the oldest lease of the entry with the most idle leases. */
    Optional<Lease> oldestOfLargestHolder() {
        EntryLeases largest = null;
        for (EntryLeases leases : leasesByEntry.values()) {
            if (largest == null || leases.idle() > largest.idle()) {
                largest = leases;
            }
        }
        return largest == null ? Optional.empty() : largest.oldest();
    }

    int idle(Incarnation entry) {
        EntryLeases leases = leasesByEntry.get(entry);
        return leases == null ? 0 : leases.idle();
    }

    int idle() {
        return idle;
    }

    /** Returns the number of idle leases that tasks of any kind may use. */
    int idleAny() {
        return idleAny;
    }

    /** Returns the number of leases in recalls that are not answered yet. */
    int pendingRecalls() {
        int pending = 0;
        for (EntryLeases leases : leasesByEntry.values()) {
            pending += leases.pendingRecall();
        }
        return pending;
    }
}
