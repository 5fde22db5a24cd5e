package org.knapweedmount.core.worker;

import java.util.OptionalDouble;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;

/** A run that occupies capacity on the worker, from the order to start it until it must have ended. */
final class TrackedRun {
    /** The minimum interval between two samples of the progress, in ms; a few percent of most runs. */
    private static final int MIN_SAMPLE_INTERVAL_MILLIS = 50;

    private final Incarnation entry;
    private final RunRequest request;
    private final String kind;
    private WorkerIncarnation incarnation;
    private final long orderedNanos;
    private RunState state = RunState.STARTING;
    private long stateNanos;
    private boolean wasListed;
    private int percent;
    private long progressNanos;
    private int sampledPercent;
    private long sampledNanos;
    private boolean sampled;
    private int absences;
    private String checkpoint = "";

    /**
     * Creates a run that is ordered now.
     *
     * @param kind the kind of its task, the name of its queue
     */
    TrackedRun(Incarnation entry, WorkerIncarnation incarnation, String kind, RunRequest request, long nowNanos) {
        this.entry = entry;
        this.incarnation = incarnation;
        this.kind = kind;
        this.request = request;
        this.orderedNanos = nowNanos;
        this.stateNanos = nowNanos;
        this.progressNanos = nowNanos;
        this.sampledNanos = nowNanos;
    }

    Incarnation entry() {
        return entry;
    }

    RunRequest request() {
        return request;
    }

    /** Returns the kind of the run's task. */
    String kind() {
        return kind;
    }

    /** Returns whether the run was ordered from an incarnation, or found there. */
    boolean isAt(WorkerIncarnation other) {
        return incarnation.equals(other);
    }

    /** Returns whether the run was ordered from a worker with another ID, which may still work. */
    boolean isAtOtherWorker(WorkerIncarnation other) {
        return !incarnation.id().equals(other.id());
    }

    /** Returns the incarnation that the run was ordered from, or found at. */
    WorkerIncarnation incarnation() {
        return incarnation;
    }

    /** Records that a later incarnation has executed the order to start the run. */
    void foundAt(WorkerIncarnation other) {
        incarnation = other;
    }

    RunRef ref() {
        return request.ref();
    }

    Resources resources() {
        return request.resources();
    }

    RunState state() {
        return state;
    }

    void transitionTo(RunState next, long nowNanos) {
        state = next;
        stateNanos = nowNanos;
        absences = 0;
    }

    /** Returns when the run entered its current state, in ns. */
    long stateNanos() {
        return stateNanos;
    }

    long orderedNanos() {
        return orderedNanos;
    }

    /** Returns whether the worker has listed the run. */
    boolean wasListed() {
        return wasListed;
    }

    /**
     * Records the progress that the worker lists.
     *
     * @return the ratio of actual to expected time for the work since the last sample, empty if the interval is too
     *     short
     */
    OptionalDouble updateProgress(int listedPercent, String listedCheckpoint, long nowNanos) {
        wasListed = true;
        checkpoint = listedCheckpoint.isEmpty() ? checkpoint : listedCheckpoint;
        absences = 0;
        if (listedPercent != percent) {
            percent = listedPercent;
            progressNanos = nowNanos;
        }
        long sampleMillis = WorkerTimings.millis(nowNanos - sampledNanos);
        if (sampleMillis < MIN_SAMPLE_INTERVAL_MILLIS) {
            return OptionalDouble.empty();
        }
        // Progress is in whole percent, so half a percent is assumed when no progress is shown.
        double completedFraction = Math.max(0.5, percent - sampledPercent) / 100;
        sampledPercent = percent;
        sampledNanos = nowNanos;
        sampled = true;
        return OptionalDouble.of(sampleMillis / (completedFraction * Math.max(1, request.expectedMillis())));
    }

    /** Returns the ratio of actual to expected time for the whole run, empty if its progress was sampled before. */
    OptionalDouble slowdownAtEnd(long nowNanos) {
        if (sampled) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(
                (double) WorkerTimings.millis(nowNanos - orderedNanos) / Math.max(1, request.expectedMillis()));
    }

    /** Returns the last checkpoint that the worker has listed, empty if there is none. */
    String checkpoint() {
        return checkpoint;
    }

    int percent() {
        return percent;
    }

    /** Returns when the run last made progress, in ns. */
    long progressNanos() {
        return progressNanos;
    }

    /** Counts a list without the run; returns the number of consecutive ones. */
    int countAbsence() {
        absences++;
        return absences;
    }
}
