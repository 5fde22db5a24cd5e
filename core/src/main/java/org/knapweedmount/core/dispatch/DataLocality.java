package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Resources;
import org.knapweedmount.core.cost.RunCost;

/**
 * Decides whether a run whose data is on a full rack waits for a worker there or takes a remote one, while runs are chosen.
 *
 * <p>Load pattern: a run away from its data takes two to three times as long, and much of one queue has its data on one rack.
 * A task waits as long as a run near its data is expected to end sooner than a remote one that had started when the wait
 * began, so that an estimate that is too low costs at most that difference. It takes the last chance of a remote run to meet
 * the target. Each task that waits delays the next one, which lets the rest of the service take the
 * overflow.
 *
 * <p>The wait is estimated from the cores in use on the rack, of which as many become free in each mean run time as are in
 * use, and from the cores of the tasks that wait already, assuming that each entry has as many. Reports do not tell when
 * single runs of other entries end.
 */
final class DataLocality {
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** The fraction of a worker's cores that a queue with most of a rack leaves free there is 1 / this number. */
    private static final int HEADROOM_DIVISOR = 10;

    /** The time to the next decision about a queued task, in ms; that of a tick. */
    private static final double MIN_STEP_MILLIS = 10;

    private final List<WorkerView> workers;
    private final RunCosts costs;
    private final QueueShares shares;
    private final int entries;
    private final long nowNanos;
    private final Map<String, Rack> racks = new HashMap<>();
    private int newWaits;

    /** What is known of the workers near some data. */
    private static final class Rack {
        private final Map<String, Integer> ownMilliCores = new HashMap<>();
        private int allOwnMilliCores;
        private int workers;
        private double slowdownSum;
        private double milliCoresPerMilli;
        private double waitingMilliCores;

        private void add(WorkerView worker, double meanMillis, long nowNanos) {
            Resources capacity = worker.report().orElseThrow().capacity();
            double usedMilliCores =
                    capacity.milliCores() - worker.freeCapacity(nowNanos).milliCores();
            workers++;
            slowdownSum += worker.relativeSlowdown();
            milliCoresPerMilli += usedMilliCores / (meanMillis * worker.relativeSlowdown());
            worker.orderedTasks().values().forEach(this::addOwn);
        }

        private void addOwn(TrackedTask task) {
            int milliCores = task.step().need().milliCores();
            ownMilliCores.merge(task.job().request().queue().name(), milliCores, Integer::sum);
            allOwnMilliCores += milliCores;
        }
    }

    DataLocality(List<WorkerView> workers, RunCosts costs, QueueShares shares, int entries, long nowNanos) {
        this.workers = workers;
        this.costs = costs;
        this.shares = shares;
        this.entries = entries;
        this.nowNanos = nowNanos;
    }

    RunCosts costs() {
        return costs;
    }

    /** Returns the number of tasks that began to wait for a worker near their data. */
    int newWaits() {
        return newWaits;
    }

    /** Returns whether a task has its data on a worker's rack, or nowhere. */
    static boolean isNear(TrackedTask task, WorkerView worker) {
        return task.step().affinity().map(worker::hasLabel).orElse(true);
    }

    /** Returns whether a task leaves enough of a worker of its rack free for other queues. */
    boolean leavesHeadroom(TrackedTask task, WorkerView worker, Resources free) {
        if (!matters(task) || !shares.hasOtherQueues() || !isNear(task, worker)) {
            return true;
        }
        Rack rack = rack(task);
        int own = rack.ownMilliCores.getOrDefault(task.job().request().queue().name(), 0);
        int headroom = worker.report().orElseThrow().capacity().milliCores() / HEADROOM_DIVISOR;
        boolean hasMost = 2 * own > rack.allOwnMilliCores;
        return !hasMost || task.step().need().milliCores() + headroom <= free.milliCores();
    }

    /** Records that a worker was chosen for a task. */
    void placed(TrackedTask task, WorkerView worker) {
        if (matters(task) && isNear(task, worker)) {
            rack(task).addOwn(task);
        }
    }

    /** Returns whether a task waits for a worker near its data rather than take a remote one that has capacity. */
    boolean waitsForData(TrackedTask task, WorkerView remote) {
        if (!matters(task) || isNear(task, remote)) {
            return false;
        }
        Rack rack = rack(task);
        if (rack.milliCoresPerMilli <= 0) {
            return false;
        }
        double needMilliCores = task.step().need().milliCores();
        double waitMillis = (rack.waitingMilliCores * entries + needMilliCores) / rack.milliCoresPerMilli;
        double waitedMillis = (nowNanos - task.dataWaitSinceNanos().orElse(nowNanos)) / NANOS_PER_MILLI;
        RunCost near = new RunCost(costs.expectedMillis(task), rack.slowdownSum / rack.workers, 1, 1, 0, waitMillis);
        RunCost away = costs.predict(task, remote, 0, nowNanos);
        boolean endsSooner = waitedMillis + waitMillis + near.durationMillis() < away.durationMillis();
        boolean lastChance = meetsTarget(task, away)
                && !meetsTarget(task, costs.predict(task, remote, Math.max(MIN_STEP_MILLIS, waitMillis), nowNanos));
        if (!endsSooner || lastChance) {
            return false;
        }
        rack.waitingMilliCores += needMilliCores;
        if (task.dataWaitSinceNanos().isEmpty()) {
            task.beginDataWait(nowNanos);
            newWaits++;
        }
        return true;
    }

    private boolean matters(TrackedTask task) {
        return costs.remoteDataFactor() > 1 && task.step().affinity().isPresent();
    }

    /** Returns whether the job can meet its target if a run of this task ends as predicted. */
    private boolean meetsTarget(TrackedTask task, RunCost cost) {
        double laterMillis = Math.max(0, task.job().criticalPathMillis() - cost.expectedMillis());
        return cost.endNanos(nowNanos)
                        + (long) (laterMillis * NANOS_PER_MILLI)
                        - task.job().targetNanos()
                <= 0;
    }

    private Rack rack(TrackedTask task) {
        return racks.computeIfAbsent(task.step().affinity().orElseThrow(), label -> {
            double meanMillis =
                    Math.max(1, costs.meanMillis(task.job().request().queue().service()));
            Rack rack = new Rack();
            for (WorkerView worker : near(task, label)) {
                rack.add(worker, meanMillis, nowNanos);
            }
            return rack;
        });
    }

    private List<WorkerView> near(TrackedTask task, String label) {
        List<WorkerView> near = new ArrayList<>();
        for (WorkerView worker : workers) {
            boolean large = worker.acceptsStarts()
                    && task.step().need().fits(worker.report().orElseThrow().capacity());
            if (large && worker.hasLabel(label) && !worker.isSilent(nowNanos)) {
                near.add(worker);
            }
        }
        return near;
    }
}
