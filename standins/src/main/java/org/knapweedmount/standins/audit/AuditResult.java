package org.knapweedmount.standins.audit;

import java.util.List;
import java.util.Set;

/**
 * The result of an overlap check.
 *
 * @param history the runs
 * @param overlaps the overlaps of runs of the same task
 */
record AuditResult(RunHistory history, List<Overlap> overlaps) {
    /** The events without which overlaps can be missed. */
    private static final Set<String> NEEDED_EVENTS =
            Set.of("runs-accepted", "runs-released", "runs-foreign", "worker-lease", "unknown");

    /** The result in one word, and the exit code of the check. */
    enum Verdict {
        /** No two runs of a task can have overlapped. */
        NO_OVERLAP(0),
        /** Two runs of a task certainly overlapped. */
        OVERLAP(1),
        /** Lines are missing, so that an overlap can have been missed. */
        INCOMPLETE(3),
        /** Two runs of a task may have overlapped. */
        POSSIBLE_OVERLAP(4);

        private final int exitCode;

        Verdict(int exitCode) {
            this.exitCode = exitCode;
        }

        int exitCode() {
            return exitCode;
        }
    }

    static AuditResult of(Iterable<String> lines) {
        RunHistory history = RunHistory.of(lines);
        return new AuditResult(history, Overlap.find(history.runs()));
    }

    Verdict verdict() {
        if (overlaps.stream().anyMatch(Overlap::certain)) {
            return Verdict.OVERLAP;
        }
        if (!isComplete()) {
            return Verdict.INCOMPLETE;
        }
        return overlaps.isEmpty() ? Verdict.NO_OVERLAP : Verdict.POSSIBLE_OVERLAP;
    }

    /** Returns whether all runs are known: a log without any start counts as incomplete. */
    private boolean isComplete() {
        return history.accepted() > 0
                && history.withoutStart() == 0
                && history.droppedLines().keySet().stream().noneMatch(NEEDED_EVENTS::contains);
    }

    /** Describes the result in lines of text. */
    String describe() {
        StringBuilder text = new StringBuilder();
        OverlapCause cause = new OverlapCause(history.entries());
        overlaps.forEach(overlap -> text.append(overlap.describe()).append(cause.describe(overlap)));
        long certain = overlaps.stream().filter(Overlap::certain).count();
        long refused = history.runs().stream().filter(LoggedRun::neverStarted).count();
        text.append(String.format(
                "%d starts accepted, %d of them refused by the worker; %d released, %d without a release, %d without a"
                        + " line of the start%n",
                history.accepted(),
                refused,
                history.released(),
                history.runs().stream().filter(run -> !run.isReleased()).count(),
                history.withoutStart()));
        text.append(String.format(
                "lines left out by the processes: %s%n",
                history.droppedLines().isEmpty() ? "none" : history.droppedLines()));
        text.append(String.format(
                "%s: %d certain and %d possible overlaps%s%n",
                verdict(), certain, overlaps.size() - certain, isComplete() ? "" : "; the log is incomplete"));
        return text.toString();
    }
}
