package org.knapweedmount.standins.soak;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The links between one entry and others; entries count from 1.
 *
 * @param entry the one entry
 * @param others the other ends
 */
record EntryLinks(int entry, List<Integer> others) {
    /** Returns the number of a fault that concerns the links between two entries; equal entries mean all links of one. */
    static int number(int entry, int other, int entries) {
        return entry - 1 + (other - 1) * entries;
    }

    /** Returns the links that a number selects. */
    static EntryLinks of(int number, int entries) {
        int entry = 1 + number % entries;
        int other = 1 + number / entries % entries;
        List<Integer> others = other == entry
                ? IntStream.rangeClosed(1, entries)
                        .filter(end -> end != entry)
                        .boxed()
                        .toList()
                : List.of(other);
        return new EntryLinks(entry, others);
    }

    /** Returns the conditions of both directions in which these links can be opened. */
    List<LinkConditions> conditions(LinkRelays relays) {
        return others.stream()
                .flatMap(other ->
                        List.of(relays.of("entry-" + entry, other), relays.of("entry-" + other, entry)).stream())
                .toList();
    }

    /** Resets the open links. */
    void reset(LinkRelays relays) {
        others.forEach(other -> relays.reset("entry-" + entry, "entry-" + other));
    }
}
