package org.knapweedmount.core.dispatch;

import java.util.HashMap;
import java.util.Map;

import org.knapweedmount.api.work.WorkQueue;
import org.knapweedmount.core.cost.InterferenceTable;
import org.knapweedmount.core.cost.MeanDuration;
import org.knapweedmount.core.cost.RunCost;

/** Predicts what runs cost on the workers that an entry knows. */
final class RunCosts {
    private final DurationModel durations;
    private final WorkerViews workers;
    private final double remoteDataFactor;
    private final Map<String, MeanDuration> means = new HashMap<>();

    RunCosts(DurationModel durations, WorkerViews workers, DispatchSettings settings) {
        this.durations = durations;
        this.workers = workers;
        this.remoteDataFactor = settings.remoteDataFactor();
    }

    /** Returns how many times as long a run takes away from its data. */
    double remoteDataFactor() {
        return remoteDataFactor;
    }

    /** Returns how many times as long a run takes on a worker because of the place of its data. */
    double dataFactor(TrackedTask task, WorkerView worker) {
        return remoteDataFactor > 1 && !DataLocality.isNear(task, worker) ? remoteDataFactor : 1;
    }

    /** Returns the expected duration of a run of a task on a worker of median speed, in ms. */
    double expectedMillis(TrackedTask task) {
        return durations.expectedMillis(
                task.job().request().queue().name(), task.step().estimateMillis());
    }

    /** Returns the mean expected duration of the runs of a service, in ms; 0 before the first one. */
    double meanMillis(String service) {
        MeanDuration mean = means.get(service);
        return mean == null ? 0 : mean.millis();
    }

    /** Records that a run of a task is ordered. */
    void ordered(TrackedTask task) {
        means.computeIfAbsent(task.job().request().queue().service(), key -> new MeanDuration())
                .add(task.step().need().milliCores(), expectedMillis(task));
    }

    /** Returns how many times as long a run takes because of what runs on a worker, and what the others lose by it. */
    double interference(TrackedTask task, WorkerView worker) {
        WorkQueue queue = task.job().request().queue();
        InterferenceTable table = workers.interference(queue.service());
        return table.isEmpty() ? 1 : worker.interference(queue.name(), table);
    }

    /** Returns the duration of a run on a worker from its expected duration and its other factors, in ms. */
    double durationMillis(double expectedMillis, double factor, WorkerView worker, long nowNanos) {
        return RunCost.withCold(expectedMillis * factor, worker.coldMillis(nowNanos));
    }

    /** Predicts a run of a task that starts on a worker after a wait, in ms. */
    RunCost predict(TrackedTask task, WorkerView worker, double waitMillis, long nowNanos) {
        return new RunCost(
                expectedMillis(task),
                worker.relativeSlowdown(),
                dataFactor(task, worker),
                interference(task, worker),
                worker.coldMillis(nowNanos),
                waitMillis);
    }
}
