package org.knapweedmount.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.knapweedmount.api.Resources;

/**
 * Selects the worker from which a run of a task is ordered.
 *
 * <p>Load pattern: workers differ in speed, and some slow down for seconds. A worker on which the task would miss its
 * target is skipped while a worker of median speed could still meet it. Among the remaining workers the one on which the
 * run costs least is chosen ({@link Candidates}), and among equal ones the one with the most free capacity, which keeps
 * entries that decide at the same time from picking the same nearly full worker. Where many entries order from many workers, they would all pick the same few ones with the most free capacity,
 * which refuse most of the runs; there, each entry prefers the workers whose agents tell it of changes at once, which are
 * others for the next entry, and among them a sample, which is another one for each task.
 */
final class Placement {
    private Placement() {}

    /**
     * Selects a worker; one that is near the data takes precedence over a preferred one.
     *
     * @param data decides whether a task waits for a worker near its data
     * @param entries the number of entries that order runs from the same workers
     */
    static Optional<WorkerView> choose(
            TrackedTask task,
            FreeCapacities freeCapacities,
            QueueShares shares,
            DataLocality data,
            int entries,
            long nowNanos) {
        Resources need = task.step().need();
        if (!freeCapacities.hasCoresFor(need)) {
            return Optional.empty();
        }
        Candidates candidates =
                new Candidates(task, WorkerSample.of(task, entries), freeCapacities, data.costs(), nowNanos);
        for (WorkerView worker : freeCapacities.workers()) {
            Resources free = freeCapacities.of(worker);
            if (need.fits(free)
                    && DemandRule.mayOrderWithoutOffer(task, worker, shares)
                    && shares.withHeadroom(task, worker.report().orElseThrow().capacity())
                            .fits(free)
                    && data.leavesHeadroom(task, worker, free)
                    && isSuitable(task, worker, nowNanos)) {
                candidates.offer(worker, DataLocality.isNear(task, worker));
            }
        }
        return Optional.ofNullable(candidates.best()).filter(worker -> !data.waitsForData(task, worker));
    }

    /** Passes on the queued tasks of jobs that fit into offered resources, each before the next one is considered. */
    static void fill(
            Resources offered,
            List<TrackedJob> jobs,
            WorkerView worker,
            QueueShares shares,
            DataLocality data,
            long nowNanos,
            Consumer<TrackedTask> chosen) {
        Resources capacity = worker.report().orElseThrow().capacity();
        Resources free = offered;
        for (TrackedJob job : jobs) {
            for (TrackedTask task : job.tasks()) {
                boolean queued = task.state() == TaskState.QUEUED;
                boolean fits = queued && shares.withHeadroom(task, capacity).fits(free);
                if (fits
                        && data.leavesHeadroom(task, worker, free)
                        && isSuitable(task, worker, nowNanos)
                        && !data.waitsForData(task, worker)) {
                    free = free.minus(task.step().need());
                    chosen.accept(task);
                }
            }
        }
    }

    /**
     * Returns whether a task may run on a worker and would meet its target there, or can no longer meet it anywhere.
     */
    static boolean isSuitable(TrackedTask task, WorkerView worker, long nowNanos) {
        JobStep step = task.step();
        boolean hasRequiredLabel =
                step.requires().isEmpty() || worker.hasLabel(step.requires().get());
        boolean servesQueue = worker.serves(task.job().request().queue().service());
        boolean avoided = task.avoidedAgent().equals(Optional.of(worker.agent()));
        boolean atStepLimit = step.maxPerWorker() < step.count()
                && worker.countOrdered(task.job(), task.stepNumber()) >= step.maxPerWorker();
        return hasRequiredLabel
                && servesQueue
                && !avoided
                && !atStepLimit
                && (worker.reportsAcceptance() || !isLastAttempt(task))
                && canMeetTarget(task.job(), worker, nowNanos);
    }

    /** Returns whether another failure fails the job; no closed worker is used then. */
    private static boolean isLastAttempt(TrackedTask task) {
        return task.failures() + 1 >= task.job().request().queue().maxAttempts();
    }

    private static boolean canMeetTarget(TrackedJob job, WorkerView worker, long nowNanos) {
        if (!JobOrder.canMeetTarget(job, nowNanos)) {
            return true;
        }
        double millis = job.criticalPathMillis() * worker.relativeSlowdown();
        return nowNanos + (long) (millis * TimeUnit.MILLISECONDS.toNanos(1)) - job.targetNanos() <= 0;
    }
}
