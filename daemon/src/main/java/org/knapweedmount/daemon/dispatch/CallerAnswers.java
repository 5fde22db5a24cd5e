package org.knapweedmount.daemon.dispatch;

import org.knapweedmount.core.dispatch.JobVerdict;

/** Receives the answers to jobs and sends them to the callers; called on the decision thread. */
@FunctionalInterface
public interface CallerAnswers {
    /**
     * Answers all callers that wait for a job.
     *
     * @param job the job's id
     * @param verdict the answer to the job
     */
    void answer(String job, JobVerdict verdict);
}
