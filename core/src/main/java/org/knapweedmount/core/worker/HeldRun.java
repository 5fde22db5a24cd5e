package org.knapweedmount.core.worker;

import java.util.OptionalDouble;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;

/** A run that takes room on the worker, from the order to start it until its end is certain. */
final class HeldRun {
    /** The shortest time between two samples of the progress, in ms; some percents of most runs. */
    private static final int SAMPLE_MILLIS = 50;

    private final Incarnation entry;
    private final RunRequest item;
    private final long orderedNanos;
    private RunState state = RunState.STARTING;
    private long stateNanos;
    private boolean seen;
    private int percent;
    private long progressNanos;
    private int sampledPercent;
    private long sampledNanos;
    private boolean sampled;
    private int absences;

    HeldRun(Incarnation entry, RunRequest item, long nowNanos) {
        this.entry = entry;
        this.item = item;
        this.orderedNanos = nowNanos;
        this.stateNanos = nowNanos;
        this.progressNanos = nowNanos;
        this.sampledNanos = nowNanos;
    }

    Incarnation entry() {
        return entry;
    }

    RunRequest item() {
        return item;
    }

    RunRef ref() {
        return item.ref();
    }

    Resources need() {
        return item.resources();
    }

    RunState state() {
        return state;
    }

    void enter(RunState next, long nowNanos) {
        state = next;
        stateNanos = nowNanos;
        absences = 0;
    }

    /** Returns when the run came into its present state. */
    long stateNanos() {
        return stateNanos;
    }

    long orderedNanos() {
        return orderedNanos;
    }

    /** Tells whether the worker has listed the run. */
    boolean seen() {
        return seen;
    }

    /**
     * Takes the progress that the worker lists.
     *
     * @return how much longer the work since the last sample took than expected, empty if it is too early to tell
     */
    OptionalDouble listed(int listedPercent, long nowNanos) {
        seen = true;
        absences = 0;
        if (listedPercent != percent) {
            percent = listedPercent;
            progressNanos = nowNanos;
        }
        long sinceMillis = WorkerTimings.millis(nowNanos - sampledNanos);
        if (sinceMillis < SAMPLE_MILLIS) {
            return OptionalDouble.empty();
        }
        // Shares are whole percents, so that half of one may have been done when none shows.
        double doneShare = Math.max(0.5, percent - sampledPercent) / 100;
        sampledPercent = percent;
        sampledNanos = nowNanos;
        sampled = true;
        return OptionalDouble.of(sinceMillis / (doneShare * Math.max(1, item.expectedMillis())));
    }

    /** Returns how much longer the whole run took than expected, empty if its progress has told that before. */
    OptionalDouble ended(long nowNanos) {
        if (sampled) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(
                (double) WorkerTimings.millis(nowNanos - orderedNanos) / Math.max(1, item.expectedMillis()));
    }

    int percent() {
        return percent;
    }

    /** Returns when the run was last seen to get on. */
    long progressNanos() {
        return progressNanos;
    }

    /** Counts a list that did not have the run, and returns how many in a row did not. */
    int absent() {
        absences++;
        return absences;
    }
}
