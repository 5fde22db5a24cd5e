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
            TrackedTask task,
            Collection<WorkerView> workers,
            Map<WorkerView, Resources> freeCapacity,
            QueueShares shares,
            long nowNanos) {
        return workers.stream()
                .filter(worker -> worker.acceptsStarts() && DemandRule.mayOrderWithoutOffer(task, worker, shares))
                .filter(worker -> shares.withHeadroom(
                                task, worker.report().orElseThrow().capacity())
                        .fits(freeCapacity.get(worker)))
                .filter(worker -> isSuitable(task, worker, nowNanos))
                .max(Comparator.<WorkerView, Boolean>comparing(worker -> isNearData(task, worker))
                        .thenComparingInt(worker -> freeCapacity.get(worker).milliCores()));
    }

    /** Tells whether a task may run on a worker and would be done in time there, or nowhere. */
    static boolean isSuitable(TrackedTask task, WorkerView worker, long nowNanos) {
        JobStep step = task.step();
        boolean hasRequiredLabel =
                step.requires().isEmpty() || worker.hasLabel(step.requires().get());
        boolean servesQueue = worker.serves(task.job().request().queue().service());
        boolean avoided = task.avoidedAgent().equals(Optional.of(worker.agent()));
        boolean atStepLimit = worker.countOrdered(task.job(), task.stepNumber()) >= step.maxPerWorker();
        return hasRequiredLabel
                && servesQueue
                && !avoided
                && !atStepLimit
                && canMeetTarget(task.job(), worker, nowNanos);
    }

    private static boolean canMeetTarget(TrackedJob job, WorkerView worker, long nowNanos) {
        if (!JobOrder.canMeetTarget(job, nowNanos)) {
            return true;
        }
        double millis = job.criticalPathMillis() * worker.relativeSlowdown();
        return nowNanos + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1)) - job.targetNanos() <= 0;
    }

    private static boolean isNearData(TrackedTask task, WorkerView worker) {
        return task.step().affinity().map(worker::hasLabel).orElse(true);
    }
}
