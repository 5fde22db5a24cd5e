package org.knapweedmount.core.dispatch;

import java.util.List;

import org.knapweedmount.api.work.WorkQueue;

/**
 * A job as its caller submits it; it is answered at its end and not stored.
 *
 * @param id the caller's id of the job
 * @param queue the queue
 * @param spec what the tasks are to do, passed on as it is
 * @param steps the steps
 * @param deadlineNanos when the caller stops to wait, in ns
 */
public record JobRequest(String id, WorkQueue queue, String spec, List<JobStep> steps, long deadlineNanos) {
    /** Copies the list. */
    public JobRequest {
        steps = List.copyOf(steps);
    }

    /**
     * Returns this request with an earlier deadline.
     *
     * @param latestNanos when the answer has to be given at the latest, in ns
     * @return the copy
     */
    JobRequest until(long latestNanos) {
        long earlierNanos = latestNanos - deadlineNanos < 0 ? latestNanos : deadlineNanos;
        return new JobRequest(id, queue, spec, steps, earlierNanos);
    }
}
