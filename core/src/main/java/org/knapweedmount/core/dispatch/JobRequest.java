package org.knapweedmount.core.dispatch;

import java.util.List;

import org.knapweedmount.api.work.WorkQueue;

/**
 * A job as submitted by its caller; it is answered when it ends and is not stored.
 *
 * @param id the job's ID, chosen by the caller
 * @param queue the queue that the job was submitted to
 * @param spec the specification of the tasks, passed to the worker unchanged
 * @param steps the steps of the job, each a group of tasks
 * @param deadlineNanos when the caller stops waiting, in ns
 */
public record JobRequest(String id, WorkQueue queue, String spec, List<JobStep> steps, long deadlineNanos) {
    /** Creates a request with a copy of the list. */
    public JobRequest {
        steps = List.copyOf(steps);
    }

    /** Returns the number of tasks of all steps. */
    long taskCount() {
        return steps.stream().mapToLong(JobStep::count).sum();
    }

    /**
     * Returns this request with a deadline no later than a given time.
     *
     * @param latestNanos the latest time for the answer, in ns
     * @return the copy
     */
    JobRequest dueBy(long latestNanos) {
        long earlierNanos = latestNanos - deadlineNanos < 0 ? latestNanos : deadlineNanos;
        return new JobRequest(id, queue, spec, steps, earlierNanos);
    }
}
