package org.knapweedmount.core.worker;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

import org.knapweedmount.api.Incarnation;

/**
 * Chooses the entries that an agent tells of large changes of its worker at once, and that prefer its worker.
 *
 * <p>Load pattern: many entries order from many workers, and each run changes what is free. The agent tells a few entries,
 * others than the next agent does, so that its messages do not grow with the number of entries, and few entries decide on
 * the same report. The other entries hear from it from time to time; they order from it if the workers that they prefer are
 * full.
 */
final class PromptEntries {
    private static final int MIX = 0x9E3779B9;

    private PromptEntries() {}

    /**
     * Returns the entries that are told at once; all agents together choose each entry about equally often.
     *
     * @param linked the linked entries
     * @param worker the ID of the worker
     */
    static Set<Incarnation> choose(Collection<Incarnation> linked, String worker) {
        return new HashSet<>(linked.stream()
                .sorted(Comparator.<Incarnation>comparingInt(entry -> rank(entry, worker))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(WorkerTimings.MAX_PROMPT_ENTRIES)
                .toList());
    }

    private static int rank(Incarnation entry, String worker) {
        int mixed = (31 * entry.hashCode() + worker.hashCode()) * MIX;
        mixed = (mixed ^ mixed >>> 16) * MIX;
        return mixed ^ mixed >>> 15;
    }
}
