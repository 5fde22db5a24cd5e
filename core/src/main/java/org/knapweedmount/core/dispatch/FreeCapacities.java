package org.knapweedmount.core.dispatch;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.knapweedmount.api.Resources;

/**
 * The free capacities of workers while runs are chosen for them.
 *
 * <p>Load pattern: many tasks are queued and all workers are full. A task that needs more cores than any worker has free
 * is passed over without a look at each worker.
 */
final class FreeCapacities {
    private final Map<WorkerView, Resources> free = new LinkedHashMap<>();
    private int largestMilliCores;

    /** Takes the estimated free capacities of the workers that accept starts. */
    FreeCapacities(Collection<WorkerView> workers, long nowNanos) {
        for (WorkerView worker : workers) {
            if (worker.acceptsStarts() && !worker.isSilent(nowNanos)) {
                free.put(worker, worker.freeCapacity(nowNanos));
            }
        }
        updateLargest();
    }

    private void updateLargest() {
        largestMilliCores =
                free.values().stream().mapToInt(Resources::milliCores).max().orElse(Integer.MIN_VALUE);
    }

    /** Returns the workers that accept starts. */
    Collection<WorkerView> workers() {
        return free.keySet();
    }

    Resources of(WorkerView worker) {
        return free.get(worker);
    }

    /** Returns whether any worker has enough free cores. */
    boolean hasCoresFor(Resources need) {
        return need.milliCores() <= largestMilliCores;
    }

    /** Subtracts what a run needs that was chosen for a worker. */
    void take(WorkerView worker, Resources need) {
        free.computeIfPresent(worker, (key, before) -> before.minus(need));
        updateLargest();
    }
}
