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

/** Decides which jobs are accepted. */
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
     * Creates the checks.
     *
     * @param context what all parts share
     * @param services the services
     * @param scheduler the queues
     * @param runTimes the observed run times
     * @param otherEntries a view of the other entries, with which the slots are shared
     * @param random spreads the times of the callers' next tries
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

    /** Checks what does not depend on the load: names and sizes. */
    Optional<Refusal> checkSpec(String serviceName, JobSpec job) {
        Optional<ServiceConfig> service = context.config().service(serviceName);
        if (service.isEmpty()) {
            return refuse(Reason.UNKNOWN_SERVICE, "there is no service '" + serviceName + "'");
        }
        if (context.config().team(job.team()).isEmpty()) {
            return refuse(Reason.UNKNOWN_TEAM, "there is no team '" + job.team() + "'");
        }
        if (job.tasks().size() > context.limits().maxJobTasks()) {
            return refuse(
                    Reason.TOO_LARGE, "a job has at most " + context.limits().maxJobTasks() + " tasks");
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
                    Reason.TOO_LARGE, "a job has at most " + context.limits().maxQueuedBytes() + " bytes");
        }
        return Optional.empty();
    }

    /** Checks that the job can run at all and would not wait too long. */
    Optional<Refusal> checkLoad(String serviceName, JobSpec job, int rosterVersion, long nowNanos) {
        Optional<ServiceState> service = services.find(serviceName).filter(state -> state.serves(rosterVersion));
        if (service.isEmpty()) {
            int retryAfterMillis = jitteredRetryAfterMillis(NO_ENDPOINT_RETRY_AFTER_MILLIS);
            return Optional.of(
                    new Refusal(Reason.NO_ENDPOINT, "no endpoint of '" + serviceName + "' is known", retryAfterMillis));
        }
        if (!requiredResources(job).stream().allMatch(service.get()::fits)) {
            return refuse(Reason.FITS_NO_WORKER, "a task needs more than any worker has");
        }
        Optional<Refusal> refusal = checkQueueCapacity(service.get(), job);
        return refusal.isPresent() ? refusal : checkPredictedWait(service.get(), job, nowNanos);
    }

    /** Returns what each task needs of a worker. */
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
            return refuse(Reason.UNKNOWN_KIND, "there is no kind '" + task.kind() + "'");
        }
        if (!kind.get().service().equals(service.name())) {
            return refuse(Reason.UNKNOWN_KIND, "kind '" + task.kind() + "' is not of service '" + service.name() + "'");
        }
        if (task.body().size() > service.maxBodyBytes()) {
            return refuse(Reason.TOO_LARGE, "a body has at most " + service.maxBodyBytes() + " bytes");
        }
        return Optional.empty();
    }

    /** Leaves each flow no more than half of the queues' space, so that a flood keeps nobody else out. */
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
            return Optional.of(new Refusal(Reason.OVERLOADED, "the queue is full", retryAfterMillis));
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
                return Optional.of(new Refusal(Reason.OVERLOADED, "the wait would be too long", retryAfterMillis));
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

    /** Returns a time between one and two times the given one, so that callers do not return together. */
    int jitteredRetryAfterMillis(double millis) {
        int base = (int) Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
        return base + random.nextInt(base);
    }

    private static Optional<Refusal> refuse(Reason reason, String detail) {
        return Optional.of(Refusal.of(reason, detail));
    }
}
