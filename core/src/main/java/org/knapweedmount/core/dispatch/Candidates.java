package org.knapweedmount.core.dispatch;

import org.knapweedmount.api.Resources;
import org.knapweedmount.core.cost.PlacementScore;

/**
 * Keeps the best of the workers that are suitable for a run of a task, in the order: near the data, told of changes at once,
 * in the sample of the task, cheapest run, most free capacity.
 *
 * <p>The order is a single number, so that no object is created for a worker. The cost is computed only if it can differ
 * between the workers; while little capacity is free, speeds are left out of it, so that runs go where they fit best.
 */
final class Candidates {
    /** The bits of the number for the free cores, in thousandths. */
    private static final int FREE_BITS = 31;

    /** The bits of the number for the cost. */
    private static final int COST_BITS = 16;

    private static final int MAX_COST = (1 << COST_BITS) - 1;

    private final TrackedTask task;
    private final WorkerSample sample;
    private final FreeCapacities free;
    private final RunCosts costs;
    private final double expectedMillis;
    private final double meanMillis;
    private final long nowNanos;
    private WorkerView best;
    private long bestRank = -1;

    Candidates(TrackedTask task, WorkerSample sample, FreeCapacities free, RunCosts costs, long nowNanos) {
        this.task = task;
        this.sample = sample;
        this.free = free;
        this.costs = costs;
        this.expectedMillis = free.costsDiffer() ? costs.expectedMillis(task) : 0;
        this.meanMillis = free.costsDiffer()
                ? costs.meanMillis(task.job().request().queue().service())
                : 0;
        this.nowNanos = nowNanos;
    }

    /** Takes a worker as the best one if it is better than those before. */
    void offer(WorkerView worker, boolean nearData) {
        long rank = worker.reportsAcceptance() ? 1 : 0;
        rank = rank << 1 | (nearData ? 1 : 0);
        rank = rank << 1 | (worker.isPrompt() ? 1 : 0);
        rank = rank << 1 | (sample.contains(worker.agent()) ? 1 : 0);
        rank = rank << COST_BITS | (MAX_COST - costSteps(worker));
        rank = rank << FREE_BITS | free.of(worker).milliCores();
        if (rank > bestRank) {
            bestRank = rank;
            best = worker;
        }
    }

    private int costSteps(WorkerView worker) {
        if (!free.costsDiffer()) {
            return 0;
        }
        Resources capacity = worker.report().orElseThrow().capacity();
        double usedFraction = 1 - (double) free.of(worker).milliCores() / Math.max(1, capacity.milliCores());
        double slowdown = free.isPlentiful() ? worker.relativeSlowdown() : 1;
        double durationMillis =
                costs.durationMillis(expectedMillis, slowdown * costs.interference(task, worker), worker, nowNanos);
        int steps = PlacementScore.steps(expectedMillis, durationMillis, slowdown, usedFraction, meanMillis);
        return Math.min(MAX_COST, Math.max(0, steps));
    }

    /** Returns the best worker, null if there is none. */
    WorkerView best() {
        return best;
    }
}
