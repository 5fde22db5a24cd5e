package org.knapweedmount.core.dispatch;

import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Resources;

/** Decides whether a submitted job is queued, and logs the inputs of the decision. */
final class JobAdmission {
    private final DispatchOutput output;
    private final WorkerViews workers;
    private final JobTable jobs;
    private final Map<String, Resources> maxCapacity;

    /**
     * Creates a rule for an entry.
     *
     * @param maxCapacity the capacity of the largest worker of each service
     */
    JobAdmission(DispatchOutput output, WorkerViews workers, JobTable jobs, Map<String, Resources> maxCapacity) {
        this.output = output;
        this.workers = workers;
        this.jobs = jobs;
        this.maxCapacity = maxCapacity;
    }

    /** Returns the answer to a job that is not queued, empty if it is. */
    Optional<JobResult> refusal(TrackedJob job, int entries, long nowNanos) {
        JobRequest request = job.request();
        String service = request.queue().service();
        if (maxCapacity.containsKey(service) && !canFit(request, service)) {
            output.logEvent("job-hopeless", "job=" + request.id());
            return Optional.of(JobResult.failed("no worker is large enough"));
        }
        jobs.recordArrival(service, request.queue().name(), nowNanos);
        QueueShares shares = jobs.shares(service, nowNanos);
        double cores = workers.cores(service, nowNanos);
        double share = shares.share(request.queue().name());
        double ownWork = jobs.queuedCoreMillis(service);
        long remoteWork = workers.otherBacklogCoreMillis(service);
        // Callers are spread over the entries, so each entry's queue holds about as much work ahead of the job.
        double ahead = jobs.coreMillisAhead(job, nowNanos) * entries / share;
        Optional<Integer> retry = AdmissionRule.retryAfterMillis(job, ahead, ownWork + remoteWork, cores, nowNanos);
        String inputs = "job=" + job.id() + " queue=" + request.queue().name() + " tasks="
                + job.tasks().size() + " chain=" + (long) job.criticalPathMillis() + " ahead=" + (long) ahead
                + " share="
                + (long) (100 * share) + " elsewhere=" + remoteWork + " cores=" + (long) cores;
        if (retry.isPresent()) {
            output.logEvent("job-refused", inputs);
            return Optional.of(JobResult.notRun("overloaded", retry.get()));
        }
        output.logEvent("job-admitted", inputs);
        job.history().add("admitted " + inputs, nowNanos);
        return Optional.empty();
    }

    private boolean canFit(JobRequest request, String service) {
        Resources capacity = maxCapacity.get(service);
        return request.steps().stream().allMatch(step -> step.need().fits(capacity));
    }
}
