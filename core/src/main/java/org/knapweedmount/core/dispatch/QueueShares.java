package org.knapweedmount.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.knapweedmount.api.Resources;

/**
 * Computes how the running work of a service is shared among its queues.
 *
 * <p>Load pattern: a burst of one kind of work arrives. Capacity goes to the queue with the least running work, so each
 * queue gets what it asks for up to an equal share, plus what the others leave: the burst delays only its own jobs,
 * whichever kind it is, and no queue starves. A queue above its equal share leaves headroom on each worker, so that a
 * short job of another queue can start at once rather than when the next long task ends.
 */
final class QueueShares {
    private final Map<String, Double> coresByQueue = new HashMap<>();
    private final Set<String> activeQueues = new HashSet<>();
    private double totalCores;

    /**
     * The fraction of a worker's cores that a queue above its equal share leaves free is 1 / this number; about one
     * task.
     */
    private static final int HEADROOM_DIVISOR = 10;

    /** Computes the shares from the loads of the queues of a service and the queues with recent arrivals. */
    static QueueShares of(Map<String, QueueLoad> loads, Collection<String> recentQueues) {
        QueueShares shares = new QueueShares();
        shares.activeQueues.addAll(recentQueues);
        loads.forEach((queue, load) -> {
            if (load.hasUnansweredJobs()) {
                shares.add(queue, load.runningCores());
            }
        });
        return shares;
    }

    private void add(String queue, double cores) {
        activeQueues.add(queue);
        coresByQueue.merge(queue, cores, Double::sum);
        totalCores += cores;
    }

    /** Returns the cores of the running tasks of a queue. */
    double cores(String queue) {
        return coresByQueue.getOrDefault(queue, 0.0);
    }

    /** Returns whether more than one queue is active. */
    boolean hasOtherQueues() {
        return activeQueues.size() > 1;
    }

    /** Returns whether a queue has more than an equal share while other queues are active. */
    boolean exceedsEqualShare(String queue) {
        return activeQueues.size() > 1 && cores(queue) * activeQueues.size() > totalCores;
    }

    /** Returns the resources of a task plus the headroom that its queue has to leave free on a worker. */
    Resources withHeadroom(TrackedTask task, Resources capacity) {
        Resources need = task.step().need();
        if (!exceedsEqualShare(task.job().request().queue().name())) {
            return need;
        }
        return need.plus(new Resources(capacity.milliCores() / HEADROOM_DIVISOR, 0, 0));
    }

    /**
     * Returns the fraction of all cores that a queue can count on: an equal share, or its current one if that is
     * larger.
     */
    double share(String queue) {
        int queueCount = activeQueues.contains(queue) ? activeQueues.size() : activeQueues.size() + 1;
        double equalShare = 1.0 / queueCount;
        return totalCores > 0 ? Math.max(equalShare, cores(queue) / totalCores) : equalShare;
    }
}
