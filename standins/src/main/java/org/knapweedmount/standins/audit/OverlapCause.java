package org.knapweedmount.standins.audit;

import java.util.Optional;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;

/** Describes how two overlapping runs came to be ordered: by one entry that gave up the first run, or by two entries. */
final class OverlapCause {
    /** For how long before an admission the lines of its entry are shown. */
    private static final long SHOWN_MICROS = TimeUnit.SECONDS.toMicros(3);

    private static final String UNKNOWN = "?";

    private final EntryTrace trace;

    OverlapCause(EntryTrace trace) {
        this.trace = trace;
    }

    /** Describes the cause in lines of text, each indented. */
    String describe(Overlap overlap) {
        LoggedRun first = overlap.first();
        LoggedRun second = overlap.second();
        StringJoiner lines = new StringJoiner("%n".formatted() + "  ", "  ", "%n".formatted());
        if (first.entry().equals(UNKNOWN) || second.entry().equals(UNKNOWN)) {
            lines.add("cause: unknown, as no line tells which entry ordered " + unknownRuns(first, second));
        } else if (first.entry().equals(second.entry())) {
            lines.add("cause: one entry, " + first.entry() + ", ordered both runs");
            lines.add(endOf(first, second));
            addAdmission(lines, first);
            if (!trace.admission(second.entryProcess(), second.job(), second.orderedMicros())
                    .equals(trace.admission(first.entryProcess(), first.job(), first.orderedMicros()))) {
                addAdmission(lines, second);
            }
            addEvents(lines, second, first.orderedMicros(), second.orderedMicros());
        } else {
            boolean startedAgain = first.entryProcess().equals(second.entryProcess());
            lines.add("cause: two entries, " + first.entry() + " and " + second.entry()
                    + (startedAgain ? ", the same process started again" : ""));
            addAdmission(lines, first);
            addAdmission(lines, second);
            long untilMicros = trace.admission(second.entryProcess(), second.job(), second.orderedMicros())
                    .map(LogGroup::micros)
                    .orElse(second.orderedMicros());
            addEvents(lines, second, untilMicros - SHOWN_MICROS, untilMicros);
        }
        return lines.toString();
    }

    private static String unknownRuns(LoggedRun first, LoggedRun second) {
        if (!first.entry().equals(UNKNOWN)) {
            return second.ref();
        }
        return second.entry().equals(UNKNOWN) ? first.ref() + " and " + second.ref() : first.ref();
    }

    private String endOf(LoggedRun first, LoggedRun second) {
        Optional<LogGroup> end = trace.runEnd(first.entryProcess(), first.ref());
        if (end.isEmpty()) {
            return first.ref() + ": no line of the entry tells why it no longer counted on this run";
        }
        boolean before = end.get().micros() <= second.orderedMicros();
        return first.ref() + " given up " + (before ? "before" : "after") + " the other was accepted: "
                + describe(end.get());
    }

    private void addAdmission(StringJoiner lines, LoggedRun run) {
        Optional<LogGroup> admission = trace.admission(run.entryProcess(), run.job(), run.orderedMicros());
        lines.add("admission of " + run.job() + " for " + run.ref() + " at " + run.entry() + ": "
                + admission.map(OverlapCause::describe).orElse("no line"));
    }

    private void addEvents(StringJoiner lines, LoggedRun run, long fromMicros, long toMicros) {
        lines.add("lines of " + run.entryProcess() + " from " + LogLine.format(fromMicros) + " to "
                + LogLine.format(toMicros) + ":");
        var events = trace.events(run.entryProcess(), run.job(), fromMicros, toMicros);
        events.forEach(event -> lines.add("  " + describe(event)));
        if (events.isEmpty()) {
            lines.add("  none about the job or other entries");
        }
    }

    private static String describe(LogGroup group) {
        StringJoiner text = new StringJoiner(" ");
        text.add(LogLine.format(group.micros())).add(group.line().event());
        group.fields().forEach((name, value) -> {
            boolean longList = name.equals("jobs") || name.equals("runs") || name.equals("ago");
            if (!longList) {
                text.add(name + "=" + value);
            }
        });
        return text.toString();
    }
}
