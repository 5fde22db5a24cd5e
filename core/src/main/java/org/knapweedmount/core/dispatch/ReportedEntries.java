package org.knapweedmount.core.dispatch;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.knapweedmount.api.Incarnation;

/** The entries that other processes have reported, each with the number of reporters. */
final class ReportedEntries {
    private final Map<Incarnation, Set<Incarnation>> reports = new LinkedHashMap<>();
    private final Map<Incarnation, Integer> reporters = new HashMap<>();

    /** Replaces the report of a process. */
    void put(Incarnation reporter, Set<Incarnation> entries) {
        Set<Incarnation> before = reports.put(reporter, Set.copyOf(entries));
        entries.forEach(entry -> reporters.merge(entry, 1, Integer::sum));
        release(before == null ? Set.of() : before);
    }

    /** Removes and returns the report of a process. */
    Set<Incarnation> remove(Incarnation reporter) {
        Set<Incarnation> before = reports.remove(reporter);
        release(before == null ? Set.of() : before);
        return before == null ? Set.of() : before;
    }

    private void release(Set<Incarnation> entries) {
        entries.forEach(entry -> reporters.computeIfPresent(entry, (key, count) -> count == 1 ? null : count - 1));
    }

    /** Returns what a process has reported. */
    Set<Incarnation> reportOf(Incarnation reporter) {
        return reports.getOrDefault(reporter, Set.of());
    }

    /** Returns the entries that any process reports. */
    Set<Incarnation> all() {
        return reporters.keySet();
    }

    boolean contains(Incarnation entry) {
        return reporters.containsKey(entry);
    }

    /** Returns the reports by their reporters. */
    Map<Incarnation, Set<Incarnation>> byReporter() {
        return reports;
    }
}
