package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The jobs that an entry holds, and what of them waits. */
final class JobTable {
    private final Map<String, TrackedJob> jobs = new LinkedHashMap<>();
    private final RecentQueues recentQueues = new RecentQueues();

    void add(TrackedJob job) {
        jobs.put(job.id(), job);
    }

    /** Removes a job; returns false if it was not here. */
    boolean remove(TrackedJob job) {
        return jobs.remove(job.id()) != null;
    }

    Optional<TrackedJob> find(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    List<String> ids() {
        return List.copyOf(jobs.keySet());
    }

    /** Returns a copy of all jobs. */
    List<TrackedJob> all() {
        return List.copyOf(jobs.values());
    }

    /** Takes note that a job has arrived for a queue. */
    void recordArrival(String service, String queue, long nowNanos) {
        recentQueues.recordArrival(service, queue, nowNanos);
    }

    QueueShares shares(String service, long nowNanos) {
        return QueueShares.of(jobs.values(), service, recentQueues.activeQueues(service, nowNanos));
    }

    long pending(String queue) {
        return jobs.values().stream()
                .filter(job -> !job.hasStarted() && job.request().queue().name().equals(queue))
                .count();
    }

    long unanswered() {
        return jobs.values().stream().filter(job -> !job.answered()).count();
    }

    /** Returns the jobs of a service that have tasks waiting for room, in the order in which they get it. */
    List<TrackedJob> queuedJobs(String service, long nowNanos) {
        List<TrackedJob> queued = new ArrayList<>();
        for (TrackedJob job : jobs.values()) {
            if (!job.answered() && job.request().queue().service().equals(service) && job.hasQueued()) {
                queued.add(job);
            }
        }
        return queued.isEmpty() ? queued : JobOrder.sorted(queued, shares(service, nowNanos), nowNanos);
    }

    /** Returns the queued work of a service, in milliseconds of a core. */
    double queuedCoreMillis(String service) {
        double sum = 0;
        for (TrackedJob job : jobs.values()) {
            if (job.request().queue().service().equals(service)) {
                sum += job.queuedCoreMillis();
            }
        }
        return sum;
    }

    /** Returns the queued work of a job's own queue that gets room before it, in milliseconds of a core. */
    double coreMillisAhead(TrackedJob newcomer, long nowNanos) {
        String queue = newcomer.request().queue().name();
        double sum = 0;
        for (TrackedJob job : jobs.values()) {
            boolean precedes =
                    JobOrder.isPreferred(job, nowNanos) && job.latestStartNanos() - newcomer.latestStartNanos() <= 0;
            if (precedes && job.request().queue().name().equals(queue)) {
                sum += job.queuedCoreMillis();
            }
        }
        return sum;
    }
}
