package org.knapweedmount.standins.audit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** What entries logged of the jobs that they admitted, the runs that they gave up and the entries that they knew. */
final class EntryTrace {
    /** The accuracy of a time that is the time of a line less an interval in whole ms, in µs. */
    private static final long ACCURACY_MICROS = TimeUnit.MILLISECONDS.toMicros(1);

    private static final Set<String> ADMISSION_EVENTS = Set.of("jobs-admitted", "job-admitted");
    private static final Set<String> RUN_EVENTS = Set.of("run-lost", "run-ended");
    private static final Set<String> JOB_EVENTS = Set.of(
            "job-elsewhere",
            "job-again",
            "job-released",
            "job-read-after-stall",
            "job-also-held",
            "job-yielded",
            "job-answered");
    private static final Set<String> ENTRY_EVENTS = Set.of(
            "entries-known",
            "first-agent-linked",
            "entry-paused",
            "entry-stalled",
            "jobs-kept",
            "jobs-released",
            "jobs-held-twice");
    private static final Set<String> LINK_EVENTS = Set.of("linked", "unlinked");

    /** The events that only entries log, and each of them soon after its start. */
    private static final Set<String> OWN_EVENTS = Set.of("entries-known", "first-agent-linked", "runs-ordered");

    private final Set<String> entries = new HashSet<>();
    private final Map<String, List<LogGroup>> admissions = new HashMap<>();
    private final Map<String, List<LogGroup>> runEnds = new HashMap<>();
    private final Map<String, List<LogGroup>> eventsByEntry = new HashMap<>();

    /** Adds a group of a line; the groups of a process have to be added in the order of their times. */
    void add(LogGroup group) {
        String event = group.line().event();
        String process = group.line().process();
        if (OWN_EVENTS.contains(event)) {
            entries.add(process);
        }
        if (ADMISSION_EVENTS.contains(event)) {
            jobs(group)
                    .forEach(job -> admissions
                            .computeIfAbsent(key(process, job), key -> new ArrayList<>())
                            .add(group));
        } else if (RUN_EVENTS.contains(event)) {
            runs(group)
                    .forEach(ref -> runEnds.computeIfAbsent(key(process, ref), key -> new ArrayList<>())
                            .add(group));
        }
        if (JOB_EVENTS.contains(event) || ENTRY_EVENTS.contains(event) || LINK_EVENTS.contains(event)) {
            eventsByEntry.computeIfAbsent(process, key -> new ArrayList<>()).add(group);
        }
    }

    private static String key(String process, String item) {
        return process + " " + item;
    }

    private static List<String> jobs(LogGroup group) {
        return group.fields().containsKey("job") ? List.of(group.text("job")) : group.list("jobs");
    }

    private static List<String> runs(LogGroup group) {
        return group.fields().containsKey("task")
                ? List.of(group.text("task") + "#" + group.text("run"))
                : group.list("runs");
    }

    /** Returns the last admission of a job at an entry before a run was ordered; prefers the line without limit. */
    Optional<LogGroup> admission(String entry, String job, long orderedMicros) {
        List<LogGroup> before = admissions.getOrDefault(key(entry, job), List.of()).stream()
                .filter(group -> group.micros() <= orderedMicros + ACCURACY_MICROS)
                .toList();
        Optional<LogGroup> complete = last(before.stream()
                .filter(group -> group.line().event().equals("jobs-admitted"))
                .toList());
        return complete.or(() -> last(before));
    }

    private static Optional<LogGroup> last(List<LogGroup> groups) {
        return groups.isEmpty() ? Optional.empty() : Optional.of(groups.get(groups.size() - 1));
    }

    /** Returns why an entry no longer counted on a run, empty if no line tells it. */
    Optional<LogGroup> runEnd(String entry, String ref) {
        return runEnds.getOrDefault(key(entry, ref), List.of()).stream().findFirst();
    }

    /** Returns what an entry logged of a job, of other entries and of its own pauses in a time, both ends included. */
    List<LogGroup> events(String entry, String job, long fromMicros, long toMicros) {
        return eventsByEntry.getOrDefault(entry, List.of()).stream()
                .filter(group -> group.micros() >= fromMicros && group.micros() <= toMicros + ACCURACY_MICROS)
                .filter(group -> concerns(group, job))
                .toList();
    }

    private boolean concerns(LogGroup group, String job) {
        String event = group.line().event();
        if (JOB_EVENTS.contains(event)) {
            return jobs(group).contains(job);
        }
        return ENTRY_EVENTS.contains(event)
                || entries.contains(group.text("peer").split("~", 2)[0]);
    }
}
