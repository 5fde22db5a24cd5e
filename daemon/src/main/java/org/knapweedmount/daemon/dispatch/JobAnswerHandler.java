package org.knapweedmount.daemon.dispatch;

import org.knapweedmount.core.dispatch.CancelResult;
import org.knapweedmount.core.dispatch.JobResult;

/** Receives the answers to jobs and sends them to the callers; called on the decision thread. */
public interface JobAnswerHandler {
    /**
     * Answers all callers that wait for a job.
     *
     * @param job the job's ID
     * @param result the result of the job
     */
    void answer(String job, JobResult result);

    /**
     * Answers all callers that have cancelled a job.
     *
     * @param job the job's ID
     * @param result what they are told
     */
    void answerCancel(String job, CancelResult result);
}
