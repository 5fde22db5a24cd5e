package org.knapweedmount.daemon.dispatch;

import org.knapweedmount.core.dispatch.JobResult;

/** Takes the answers for callers; called on the decision thread. */
@FunctionalInterface
public interface JobAnswerHandler {
    /**
     * Answers the callers that wait for a job.
     *
     * @param job the job's id
     * @param verdict the answer
     */
    void answer(String job, JobResult verdict);
}
