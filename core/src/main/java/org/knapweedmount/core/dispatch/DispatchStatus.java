package org.knapweedmount.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.knapweedmount.api.work.WorkQueue;
import org.knapweedmount.core.explain.Explanation;
import org.knapweedmount.core.metric.MillisHistogram;

/** What an entry tells about its jobs and workers; always the present state of its {@link Dispatcher}. */
public final class DispatchStatus {
    private final JobTable jobs;
    private final WorkerViews workers;
    private final JobAnswers answers;
    private final MillisHistogram<WaitReason> waits;
    private final Supplier<List<String>> waitingRequests;
    private final IntSupplier waitingCancels;
    private final DecisionExplainer explainer;

    DispatchStatus(
            JobTable jobs,
            WorkerViews workers,
            JobAnswers answers,
            MillisHistogram<WaitReason> waits,
            Supplier<List<String>> waitingRequests,
            IntSupplier waitingCancels,
            DecisionExplainer explainer) {
        this.jobs = jobs;
        this.workers = workers;
        this.answers = answers;
        this.waits = waits;
        this.waitingRequests = waitingRequests;
        this.waitingCancels = waitingCancels;
        this.explainer = explainer;
    }

    /**
     * Explains what would be decided about a job now; nothing is sent, logged or recorded.
     *
     * @param request the job, with at least one task that waits for no other step
     * @param nowNanos the current time, in ns
     * @return the decision and its inputs
     */
    public Explanation explain(JobRequest request, long nowNanos) {
        return explainer.explain(request, waitingRequests(), nowNanos);
    }

    /**
     * Returns whether a job is held and not answered.
     *
     * @param id the job's ID
     * @return true if it is queued or running
     */
    public boolean holds(String id) {
        return jobs.find(id).filter(job -> !job.answered()).isPresent();
    }

    /**
     * Returns the queue that an unanswered job was submitted to; it may not be configured any more.
     *
     * @param id the job's ID
     * @return the queue, empty if the job is not held
     */
    public Optional<WorkQueue> queueOf(String id) {
        return jobs.find(id)
                .filter(job -> !job.answered())
                .map(job -> job.request().queue());
    }

    /**
     * Returns the number of jobs of a queue that have not started.
     *
     * @param queue the queue's name
     * @return the number of jobs
     */
    public long pending(String queue) {
        return jobs.pending(queue);
    }

    /**
     * Returns the number of unanswered jobs.
     *
     * @return the number of jobs
     */
    public long unanswered() {
        return jobs.unanswered();
    }

    /**
     * Returns the number of requests that wait for other entries, for earlier runs or after a start or stall; they are not
     * among the unanswered jobs.
     *
     * @return the number of requests
     */
    public int waitingRequests() {
        return waitingRequests.get().size();
    }

    /**
     * Returns whether no caller waits for an answer of this entry.
     *
     * @return true if no job is unanswered and no request or cancellation waits
     */
    public boolean owesNothing() {
        return unanswered() == 0 && waitingRequests() == 0 && waitingCancels.getAsInt() == 0;
    }

    /**
     * Returns the latencies of answered jobs, without those refused on arrival; any thread may call this.
     *
     * @return the histogram
     */
    public JobLatencies latencies() {
        return answers.latencies();
    }

    /**
     * Returns whether any worker accepts starts.
     *
     * @return true if one does
     */
    public boolean hasWorkers() {
        return workers.all().stream().anyMatch(WorkerView::acceptsStarts);
    }

    /**
     * Returns how long requests waited for other entries, for earlier runs or after a stall before their jobs were
     * admitted.
     *
     * @return the waits by reason; any thread may read them
     */
    public MillisHistogram<WaitReason> waits() {
        return waits;
    }
}
