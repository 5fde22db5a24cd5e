package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.KindInterference;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.core.worker.interference.InterferenceObserver;

/**
 * The runs that occupy capacity on a worker.
 *
 * <p>A run is added before its start order is sent, and removed only when it has certainly ended or certainly will not
 * start, so the worker is never given more runs than fit.
 */
final class RunTable {
    private final Map<RunRef, TrackedRun> runs = new LinkedHashMap<>();
    private final InterferenceObserver interference = new InterferenceObserver();
    private Resources usedCapacity = Resources.NONE;

    void add(TrackedRun run) {
        runs.put(run.ref(), run);
        usedCapacity = usedCapacity.plus(run.resources());
        interference.started(
                run.ref(),
                run.kind(),
                run.resources().milliCores(),
                run.request().expectedMillis(),
                run.orderedNanos());
    }

    Optional<TrackedRun> remove(RunRef ref) {
        TrackedRun run = runs.remove(ref);
        if (run == null) {
            return Optional.empty();
        }
        usedCapacity = usedCapacity.minus(run.resources());
        return Optional.of(run);
    }

    /** Returns what is learnt of the kinds of tasks that slow each other down here. */
    InterferenceObserver interference() {
        return interference;
    }

    /** Returns the pairs of kinds of tasks that slow each other down, by the runs that have ended. */
    List<KindInterference> interferingPairs(long nowNanos) {
        return interference.pairs(nowNanos);
    }

    Optional<TrackedRun> find(RunRef ref) {
        return Optional.ofNullable(runs.get(ref));
    }

    /** Returns a run that an entry has ordered. */
    Optional<TrackedRun> find(Incarnation entry, RunRef ref) {
        return find(ref).filter(run -> run.entry().equals(entry));
    }

    /** Returns whether any run of the task is present. */
    boolean holdsTask(String task) {
        return runs.keySet().stream().anyMatch(ref -> ref.task().equals(task));
    }

    /** Returns whether any run meets a condition. */
    boolean any(Predicate<TrackedRun> condition) {
        return runs.values().stream().anyMatch(condition);
    }

    /** Returns a copy of the runs that meet a condition. */
    List<TrackedRun> matching(Predicate<TrackedRun> condition) {
        List<TrackedRun> found = new ArrayList<>();
        for (TrackedRun run : runs.values()) {
            if (condition.test(run)) {
                found.add(run);
            }
        }
        return found;
    }

    List<TrackedRun> of(Incarnation entry) {
        return matching(run -> run.entry().equals(entry));
    }

    List<TrackedRun> all() {
        return new ArrayList<>(runs.values());
    }

    int size() {
        return runs.size();
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    /** Returns the capacity that the runs occupy. */
    Resources usedCapacity() {
        return usedCapacity;
    }

    /** Returns the runs of a worker that make no progress. */
    List<TrackedRun> stalled(WorkerIncarnation worker, long nowNanos) {
        return matching(
                run -> run.state() == RunState.RUNNING && run.isAt(worker) && StallRule.isStalled(run, nowNanos));
    }

    /** Describes the load of the worker for the log. */
    String describeLoad(Resources free) {
        return "free=" + free.milliCores() + " runs=" + size();
    }
}
