package org.knapweedmount.core.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.knapweedmount.api.Resources;
import org.knapweedmount.core.explain.AdmissionTerms;
import org.knapweedmount.core.explain.AdmissionVerdict;

/** Decides whether a submitted job is queued, and logs the inputs of the decision. */
final class JobAdmission {
    private final DispatchOutput output;
    private final WorkerViews workers;
    private final JobTable jobs;
    private final Map<String, Resources> maxCapacity;
    private final DispatchSettings settings;

    /**
     * Creates a rule for an entry.
     *
     * @param maxCapacity the capacity of the largest worker of each service
     * @param settings the limits on tasks
     */
    JobAdmission(
            DispatchOutput output,
            WorkerViews workers,
            JobTable jobs,
            Map<String, Resources> maxCapacity,
            DispatchSettings settings) {
        this.output = output;
        this.workers = workers;
        this.jobs = jobs;
        this.maxCapacity = maxCapacity;
        this.settings = settings;
    }

    /**
     * Returns the answer to a job that is refused for its size, empty if it is not or if the job is held already.
     *
     * @param waitingTasks the number of tasks of the requests that are not admitted yet
     */
    Optional<JobResult> sizeRefusal(JobRequest request, long waitingTasks) {
        return jobs.find(request.id()).isPresent()
                ? Optional.empty()
                : JobSizeRule.refusal(request, jobs.taskCount() + waitingTasks, settings);
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
        AdmissionTerms terms = terms(job, entries, nowNanos);
        String inputs = "job=" + job.id() + " queue=" + request.queue().name() + " tasks="
                + job.tasks().size() + " chain=" + (long) terms.chainMillis() + " ahead="
                + (long) terms.aheadCoreMillis()
                + " share="
                + (long) (100 * terms.share()) + " elsewhere=" + terms.elsewhereCoreMillis() + " cores="
                + (long) terms.cores();
        if (terms.retryAfterMillis().isPresent()) {
            output.logEvent("job-refused", inputs);
            return Optional.of(
                    JobResult.notRun("overloaded", terms.retryAfterMillis().getAsInt()));
        }
        output.logEvent("job-admitted", inputs);
        job.history().add("admitted " + inputs, nowNanos);
        return Optional.empty();
    }

    /** Returns the inputs of the decision about a job and its verdict, without an effect on later decisions. */
    AdmissionTerms terms(TrackedJob job, int entries, long nowNanos) {
        String service = job.request().queue().service();
        double share =
                jobs.shares(service, nowNanos).share(job.request().queue().name());
        double cores = workers.cores(service, nowNanos);
        double ownWork = jobs.queuedCoreMillis(service);
        long remoteWork = workers.otherBacklogCoreMillis(service);
        // Callers are spread over the entries, so each entry's queue holds about as much work ahead of the job.
        double ahead = jobs.coreMillisAhead(job, nowNanos) * entries / share;
        Optional<Integer> retry = AdmissionRule.retryAfterMillis(job, ahead, ownWork + remoteWork, cores, nowNanos);
        AdmissionVerdict verdict = retry.isPresent() ? AdmissionVerdict.OVERLOADED : AdmissionVerdict.ADMITTED;
        if (maxCapacity.containsKey(service) && !canFit(job.request(), service)) {
            verdict = AdmissionVerdict.TOO_LARGE;
        }
        return new AdmissionTerms(
                verdict,
                ahead,
                share,
                ownWork,
                remoteWork,
                cores,
                job.criticalPathMillis(),
                retry.map(OptionalInt::of).orElse(OptionalInt.empty()));
    }

    private boolean canFit(JobRequest request, String service) {
        Resources capacity = maxCapacity.get(service);
        return request.steps().stream().allMatch(step -> step.need().fits(capacity));
    }
}
