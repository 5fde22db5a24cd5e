package org.knapweedmount.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.knapweedmount.api.Resources;

/**
 * How the running work of a service is shared among its queues.
 *
 * <p>Load pattern: one kind of work floods in. Room goes to the queue with the least work under way, so that each queue gets
 * what it asks for up to an equal share, and what the others leave beyond that: the flood pays for itself, whichever kind
 * it is, and no queue starves. A queue that has more than an equal share leaves some room of each worker free, so that a
 * short job of another queue finds room at once rather than when the next long task ends.
 */
final class QueueShares {
    private final Map<String, Double> coresByQueue = new HashMap<>();
    private final Set<String> activeQueues = new HashSet<>();
    private double totalCores;

    /** The part of a worker's cores that a queue with more than its share leaves free: one in this number, about a task. */
    private static final int HEADROOM_DIVISOR = 10;

    /** Adds up the jobs of a service that have not been answered, for queues that had jobs lately. */
    static QueueShares of(Collection<TrackedJob> jobs, String service, Collection<String> recentQueues) {
        QueueShares shares = new QueueShares();
        shares.activeQueues.addAll(recentQueues);
        for (TrackedJob job : jobs) {
            if (!job.answered() && job.request().queue().service().equals(service)) {
                shares.add(job);
            }
        }
        return shares;
    }

    private void add(TrackedJob job) {
        String queue = job.request().queue().name();
        activeQueues.add(queue);
        double cores = job.runningCores();
        coresByQueue.merge(queue, cores, Double::sum);
        totalCores += cores;
    }

    /** Returns the cores that the tasks of a queue have under way. */
    double cores(String queue) {
        return coresByQueue.getOrDefault(queue, 0.0);
    }

    /** Tells whether a queue has more than an equal share while other queues have jobs. */
    boolean exceedsEqualShare(String queue) {
        return activeQueues.size() > 1 && cores(queue) * activeQueues.size() > totalCores;
    }

    /** Returns a need with the room that its queue has to leave free on a worker. */
    Resources withHeadroom(TrackedTask task, Resources capacity) {
        Resources need = task.step().need();
        if (!exceedsEqualShare(task.job().request().queue().name())) {
            return need;
        }
        return need.plus(new Resources(capacity.milliCores() / HEADROOM_DIVISOR, 0, 0));
    }

    /** Returns the share of all cores that a queue can count on: an equal one, or what it has now if that is more. */
    double share(String queue) {
        int queueCount = activeQueues.contains(queue) ? activeQueues.size() : activeQueues.size() + 1;
        double equalShare = 1.0 / queueCount;
        return totalCores > 0 ? Math.max(equalShare, cores(queue) / totalCores) : equalShare;
    }
}
