package org.knapweedmount.core.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.ServiceConfig;

/** Admission control: decides which jobs an entry accepts. */
final class Admission {
    private static final int MIN_RETRY_AFTER_MILLIS = 100;
    private static final int MAX_RETRY_AFTER_MILLIS = 30_000;
    private static final int FULL_QUEUE_RETRY_AFTER_MILLIS = 500;
    private static final int NO_ENDPOINT_RETRY_AFTER_MILLIS = 1_000;

    private final EntryContext context;
    private final ServiceRegistry services;
    private final TaskScheduler scheduler;
    private final RunTimes runTimes;
    private final Set<?> otherEntries;
    private final Random random;

    /**
     * Creates the admission control of an entry.
     *
     * @param context the shared context of the entry
     * @param services the services
     * @param scheduler provides the number and size of the queued tasks
     * @param runTimes the observed run times
     * @param otherEntries a view of the linked entries, which share the slots with this one
     * @param random the source of the jitter in retry times
     */
    Admission(
            EntryContext context,
            ServiceRegistry services,
            TaskScheduler scheduler,
            RunTimes runTimes,
            Set<?> otherEntries,
            Random random) {
        this.context = context;
        this.services = services;
        this.scheduler = scheduler;
        this.runTimes = runTimes;
        this.otherEntries = otherEntries;
        this.random = random;
    }

    /** Checks the names and sizes in a job, which do not depend on the load. */
    Optional<Refusal> checkSpec(String serviceName, JobSpec job) {
        Optional<ServiceConfig> service = context.config().service(serviceName);
        if (service.isEmpty()) {
            return refuse(Reason.UNKNOWN_SERVICE, "unknown service '" + serviceName + "'");
        }
        if (context.config().team(job.team()).isEmpty()) {
            return refuse(Reason.UNKNOWN_TEAM, "unknown team '" + job.team() + "'");
        }
        if (job.tasks().size() > context.limits().maxJobTasks()) {
            return refuse(
                    Reason.TOO_LARGE,
                    "the job has " + job.tasks().size() + " tasks, more than the limit of "
                            + context.limits().maxJobTasks());
        }
        long bytes = 0;
        for (TaskSpec task : job.tasks()) {
            Optional<Refusal> refusal = checkTask(service.get(), task);
            if (refusal.isPresent()) {
                return refusal;
            }
            bytes += task.body().size();
        }
        if (bytes > context.limits().maxQueuedBytes()) {
            return refuse(
                    Reason.TOO_LARGE,
                    "the bodies of the job have " + bytes + " bytes, more than the limit of "
                            + context.limits().maxQueuedBytes());
        }
        return Optional.empty();
    }

    /** Checks that workers can run the tasks, that the queues have capacity and that the wait is acceptable. */
    Optional<Refusal> checkLoad(String serviceName, JobSpec job, int rosterVersion, long nowNanos) {
        Optional<ServiceState> service = services.find(serviceName).filter(state -> state.serves(rosterVersion));
        if (service.isEmpty()) {
            int retryAfterMillis = jitteredRetryAfterMillis(NO_ENDPOINT_RETRY_AFTER_MILLIS);
            return Optional.of(new Refusal(
                    Reason.NO_ENDPOINT, "no endpoint of service '" + serviceName + "' is available", retryAfterMillis));
        }
        if (!requiredResources(job).stream().allMatch(service.get()::fits)) {
            return refuse(Reason.FITS_NO_WORKER, "a task requires more resources than any worker has");
        }
        Optional<Refusal> refusal = checkQueueCapacity(service.get(), job);
        return refusal.isPresent() ? refusal : checkPredictedWait(service.get(), job, nowNanos);
    }

    /** Returns the resources that each task requires of a worker. */
    List<Resources> requiredResources(JobSpec job) {
        return job.tasks().stream().map(this::taskResources).toList();
    }

    private Resources taskResources(TaskSpec task) {
        Resources kindResources =
                context.config().kind(task.kind()).map(KindConfig::resources).orElse(Resources.NONE);
        return kindResources.max(task.resources());
    }

    private Optional<Refusal> checkTask(ServiceConfig service, TaskSpec task) {
        Optional<KindConfig> kind = context.config().kind(task.kind());
        if (kind.isEmpty()) {
            return refuse(Reason.UNKNOWN_KIND, "unknown kind '" + task.kind() + "'");
        }
        if (!kind.get().service().equals(service.name())) {
            return refuse(
                    Reason.UNKNOWN_KIND,
                    "kind '" + task.kind() + "' does not belong to service '" + service.name() + "'");
        }
        if (task.body().size() > service.maxBodyBytes()) {
            return refuse(
                    Reason.TOO_LARGE,
                    "the body has " + task.body().size() + " bytes, more than the limit of " + service.maxBodyBytes());
        }
        return Optional.empty();
    }

    /** Limits each flow to half of the queue capacity, so that an overload of one flow does not block the others. */
    private Optional<Refusal> checkQueueCapacity(ServiceState service, JobSpec job) {
        int freeTasks = context.limits().maxQueuedTasks() - scheduler.queuedTasks();
        long freeBytes = context.limits().maxQueuedBytes() - scheduler.queuedBytes();
        long bytes = 0;
        for (TaskSpec task : job.tasks()) {
            bytes += task.body().size();
        }
        for (Flow flow : flows(job).keySet()) {
            Optional<FlowQueue> queue = service.queues().find(flow);
            freeTasks -= queue.map(FlowQueue::size).orElse(0);
            freeBytes -= queue.map(FlowQueue::bytes).orElse(0L);
        }
        if (job.tasks().size() > freeTasks || bytes > freeBytes) {
            int retryAfterMillis = jitteredRetryAfterMillis(FULL_QUEUE_RETRY_AFTER_MILLIS);
            return Optional.of(new Refusal(
                    Reason.OVERLOADED,
                    "the job exceeds the queue capacity that is left for its flows",
                    retryAfterMillis));
        }
        return Optional.empty();
    }

    private Optional<Refusal> checkPredictedWait(ServiceState service, JobSpec job, long nowNanos) {
        for (Flow flow : flows(job).keySet()) {
            Optional<FlowQueue> queue = service.queues().find(flow);
            KindConfig kind = context.config().kind(flow.kind()).orElseThrow();
            double waitMillis = queue.map(waiting -> predictedWaitMillis(service, waiting, kind, nowNanos))
                    .orElse(0.0);
            if (waitMillis > kind.maxWaitMillis()) {
                int retryAfterMillis = jitteredRetryAfterMillis(waitMillis - kind.maxWaitMillis());
                return Optional.of(new Refusal(
                        Reason.OVERLOADED,
                        "the predicted wait of " + (long) Math.ceil(waitMillis) + " ms exceeds the limit of "
                                + kind.maxWaitMillis() + " ms for kind '" + kind.name() + "'",
                        retryAfterMillis));
            }
        }
        return Optional.empty();
    }

    private double predictedWaitMillis(ServiceState service, FlowQueue queue, KindConfig kind, long nowNanos) {
        return service.predictedWaitMillis(queue, runTimes.millis(kind), otherEntries.size() + 1, nowNanos);
    }

    private static Map<Flow, Integer> flows(JobSpec job) {
        Map<Flow, Integer> flows = new HashMap<>();
        for (TaskSpec task : job.tasks()) {
            flows.merge(new Flow(task.kind(), job.team()), 1, Integer::sum);
        }
        return flows;
    }

    /** Returns a random retry time of once to twice the given one, in ms, so that callers do not retry together. */
    int jitteredRetryAfterMillis(double millis) {
        int base = (int) Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
        return base + random.nextInt(base);
    }

    private static Optional<Refusal> refuse(Reason reason, String detail) {
        return Optional.of(Refusal.of(reason, detail));
    }
}
