package org.knapweedmount.core.dispatch;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Message;

/** Receives the outputs of a {@link Dispatcher}. */
public interface DispatchOutput {
    /**
     * Sends a message to an agent or another entry; the message is dropped if there is no link.
     *
     * @param peer the receiver
     * @param message the message
     */
    void send(Incarnation peer, Message message);

    /**
     * Answers the caller of a job.
     *
     * @param job the job's ID
     * @param result the result
     */
    void answer(String job, JobResult result);

    /**
     * Answers the callers that have cancelled a job.
     *
     * @param job the job's ID
     * @param result what they are told
     */
    default void answerCancel(String job, CancelResult result) {
        // An output without callers answers nothing.
    }

    /**
     * Logs a decision about a job or a change of the entry's view, for the analysis of failures.
     *
     * @param event what was decided
     * @param detail the job and the inputs of the decision
     */
    void logEvent(String event, String detail);

    /**
     * Counts an event for the metrics of the process.
     *
     * @param counter the counter to increment
     */
    default void count(DispatchCounter counter) {
        // An output without metrics counts nothing.
    }
}
