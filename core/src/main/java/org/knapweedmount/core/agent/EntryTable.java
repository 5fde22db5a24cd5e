package org.knapweedmount.core.agent;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;

/**
 * The links to entries.
 *
 * <p>Each agent breaks ties between entries in a different order, so that when every agent has only a few slots, their
 * leases are still spread over all entries.
 */
final class EntryTable {
    /** Multiplier of Fibonacci hashing: 2^64 divided by the golden ratio. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final Incarnation self;
    private final Map<Incarnation, EntryLink> links = new LinkedHashMap<>();

    EntryTable(Incarnation self) {
        this.self = self;
    }

    void add(Incarnation entry, long nowNanos) {
        long tieBreaker = ((self.hashCode() * HASH_MULTIPLIER) ^ entry.hashCode()) * HASH_MULTIPLIER;
        links.put(entry, new EntryLink(entry, tieBreaker, nowNanos));
    }

    Optional<EntryLink> remove(Incarnation entry) {
        return Optional.ofNullable(links.remove(entry));
    }

    Optional<EntryLink> find(Incarnation entry) {
        return Optional.ofNullable(links.get(entry));
    }

    boolean linked(Incarnation entry) {
        return links.containsKey(entry);
    }

    boolean reachable(Incarnation entry) {
        EntryLink link = links.get(entry);
        return link != null && link.reachable();
    }

    Collection<EntryLink> all() {
        return Collections.unmodifiableCollection(links.values());
    }
}
