package org.knapweedmount.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Resources;

/**
 * Decides which worker a task is ordered from.
 *
 * <p>Load pattern: workers differ in speed, and some turn slow for seconds. A worker on which the task would miss its time
 * is passed over as long as an ordinary one could still make it; among the others the one with the most free room is
 * taken, which keeps entries that decide at the same moment from choosing the same one when it is nearly full.
 */
final class Placement {
    private Placement() {}

    static Optional<WorkerView> choose(
            WorkTask task,
            Collection<WorkerView> workers,
            Map<WorkerView, Resources> room,
            QueueShares shares,
            long nowNanos) {
        return workers.stream()
                .filter(worker -> worker.open() && DemandRule.mayOrder(task, worker, shares))
                .filter(worker -> shares.withHeadroom(
                                task, worker.report().orElseThrow().capacity())
                        .fits(room.get(worker)))
                .filter(worker -> suits(task, worker, nowNanos))
                .max(Comparator.<WorkerView, Boolean>comparing(worker -> isNearData(task, worker))
                        .thenComparingInt(worker -> room.get(worker).milliCores()));
    }

    /** Tells whether a task may run on a worker and would be done in time there, or nowhere. */
    static boolean suits(WorkTask task, WorkerView worker, long nowNanos) {
        JobStep step = task.step();
        boolean labelled =
                step.requires().isEmpty() || worker.hasLabel(step.requires().get());
        boolean service = worker.serves(task.job().request().queue().service());
        boolean avoided = task.avoided().equals(Optional.of(worker.agent()));
        boolean crowded = worker.count(task.job(), task.stepNumber()) >= step.maxPerWorker();
        return labelled && service && !avoided && !crowded && fastEnough(task.job(), worker, nowNanos);
    }

    private static boolean fastEnough(WorkJob job, WorkerView worker, long nowNanos) {
        if (!JobOrder.inTime(job, nowNanos)) {
            return true;
        }
        double millis = job.chainMillis() * worker.slowness();
        return nowNanos + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1)) - job.aimNanos() <= 0;
    }

    private static boolean isNearData(WorkTask task, WorkerView worker) {
        return task.step().affinity().map(worker::hasLabel).orElse(true);
    }
}
