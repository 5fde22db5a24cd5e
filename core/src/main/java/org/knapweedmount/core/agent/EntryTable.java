package org.knapweedmount.core.agent;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;

/** The links to entries. */
final class EntryTable {
    private final Map<Incarnation, EntryLink> links = new LinkedHashMap<>();

    void add(EntryLink link) {
        links.put(link.entry(), link);
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
