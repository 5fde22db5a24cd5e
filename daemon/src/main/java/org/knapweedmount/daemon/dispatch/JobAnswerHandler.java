package org.knapweedmount.daemon.dispatch;

import io.vertx.core.Future;
import org.knapweedmount.core.dispatch.CancelResult;
import org.knapweedmount.core.dispatch.JobResult;

/** The connections to callers: receives the answers to jobs and sends them; called on the decision thread. */
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

    /**
     * Counts the requests of callers that were read and whose answers are not written yet.
     *
     * @return the number of requests
     */
    int unanswered();

    /**
     * Returns when a request of a caller was read last.
     *
     * @return the time by the clock of the process, in ns; that of the start if none was read
     */
    long lastRequestNanos();

    /**
     * Accepts no more connections, and closes each one when it has no request.
     *
     * @param limitMillis the time after which connections are closed anyway, in ms
     * @return completes when each request that was read is answered
     */
    Future<Void> shutdown(int limitMillis);
}
