package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.WorkQueue;

/** The jobs that an entry holds, with their queued work. */
final class JobTable {
    private final Map<String, TrackedJob> jobs = new LinkedHashMap<>();
    /** The loads of the queues with jobs so far, by service and queue. */
    private final Map<String, Map<String, QueueLoad>> loads = new LinkedHashMap<>();

    private final RecentQueues recentQueues = new RecentQueues();
    private int highestLostRun;
    private long taskCount;

    /** Adds a job; its runs are numbered above all lost ones, whose results may still arrive. */
    void add(TrackedJob job) {
        job.tasks().forEach(task -> task.skipRunNumbers(highestLostRun));
        jobs.put(job.id(), job);
        taskCount += job.tasks().size();
        WorkQueue queue = job.request().queue();
        job.countIn(loads.computeIfAbsent(queue.service(), service -> new LinkedHashMap<>())
                .computeIfAbsent(queue.name(), name -> new QueueLoad()));
    }

    private Map<String, QueueLoad> loads(String service) {
        return loads.getOrDefault(service, Map.of());
    }

    /** Records that a run was given up without its result. */
    void runLost(RunRef run) {
        highestLostRun = Math.max(highestLostRun, run.run());
    }

    /** Removes a job; returns false if it was not present. */
    boolean remove(TrackedJob job) {
        boolean removed = jobs.remove(job.id()) != null;
        taskCount -= removed ? job.tasks().size() : 0;
        return removed;
    }

    /** Returns the number of tasks of all jobs. */
    long taskCount() {
        return taskCount;
    }

    Optional<TrackedJob> find(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /** Returns a copy of all jobs. */
    List<TrackedJob> all() {
        return List.copyOf(jobs.values());
    }

    /** Records the arrival of a job for a queue. */
    void recordArrival(String service, String queue, long nowNanos) {
        recentQueues.recordArrival(service, queue, nowNanos);
    }

    QueueShares shares(String service, long nowNanos) {
        return QueueShares.of(loads(service), recentQueues.activeQueues(service, nowNanos));
    }

    long pending(String queue) {
        return jobs.values().stream()
                .filter(job -> !job.hasStarted() && job.request().queue().name().equals(queue))
                .count();
    }

    long unanswered() {
        return jobs.values().stream().filter(job -> !job.answered()).count();
    }

    /** Returns whether any job of a service has queued tasks. */
    boolean hasQueued(String service) {
        return loads(service).values().stream().anyMatch(QueueLoad::hasQueuedTasks);
    }

    /**
     * Returns the jobs of a service that have queued tasks, whose callers still wait and which are not held back, in
     * scheduling order.
     */
    List<TrackedJob> queuedJobs(String service, Predicate<String> heldBack, long nowNanos) {
        List<TrackedJob> queued = new ArrayList<>();
        for (TrackedJob job : jobs.values()) {
            boolean callerWaits = !job.answered() && nowNanos - job.request().deadlineNanos() < 0;
            boolean waits = callerWaits && job.hasQueued() && !heldBack.test(job.id());
            if (waits && job.request().queue().service().equals(service)) {
                queued.add(job);
            }
        }
        return queued.isEmpty() ? queued : JobOrder.sorted(queued, shares(service, nowNanos), nowNanos);
    }

    /** Returns the queued work of a service, in core-milliseconds. */
    double queuedCoreMillis(String service) {
        return loads(service).values().stream()
                .mapToDouble(QueueLoad::queuedCoreMillis)
                .sum();
    }

    /** Returns the work in a job's own queue that is scheduled before it, in core-milliseconds. */
    double coreMillisAhead(TrackedJob newJob, long nowNanos) {
        String queue = newJob.request().queue().name();
        double sum = 0;
        for (TrackedJob job : jobs.values()) {
            boolean precedes =
                    JobOrder.isPreferred(job, nowNanos) && job.latestStartNanos() - newJob.latestStartNanos() <= 0;
            if (precedes && job.request().queue().name().equals(queue)) {
                sum += job.queuedCoreMillis();
            }
        }
        return sum;
    }
}
