package org.knapweedmount.standins.audit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Two runs of a task that lived at the same time.
 *
 * @param first the run that was ordered first
 * @param second the other run
 * @param certain true if both certainly lived at the same time, false if it is only possible
 */
record Overlap(LoggedRun first, LoggedRun second, boolean certain) {
    private static final double MICROS_PER_MILLI = 1_000;

    /** Returns all overlaps of runs of the same task. */
    static List<Overlap> find(Collection<LoggedRun> runs) {
        Map<String, List<LoggedRun>> byTask = new LinkedHashMap<>();
        for (LoggedRun run : runs) {
            if (!run.neverStarted()) {
                byTask.computeIfAbsent(run.task(), key -> new ArrayList<>()).add(run);
            }
        }
        List<Overlap> overlaps = new ArrayList<>();
        for (List<LoggedRun> ofTask : byTask.values()) {
            ofTask.sort(Comparator.comparingLong(LoggedRun::orderedMicros));
            for (int i = 0; i < ofTask.size(); i++) {
                for (LoggedRun later : ofTask.subList(i + 1, ofTask.size())) {
                    LoggedRun run = ofTask.get(i);
                    boolean certain = run.certainlyOverlaps(later);
                    if (certain || run.mayOverlap(later)) {
                        overlaps.add(new Overlap(run, later, certain));
                    }
                }
            }
        }
        return overlaps;
    }

    /** Describes the overlap in three lines. */
    String describe() {
        double millis = (Math.min(first.endMicros(), second.endMicros()) - second.orderedMicros()) / MICROS_PER_MILLI;
        return String.format(
                "%s overlap of two runs of %s, at most %.1f ms%n  %s%n  %s%n",
                certain ? "certain" : "possible", first.task(), millis, first.describe(), second.describe());
    }
}
