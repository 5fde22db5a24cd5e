package org.knapweedmount.core.worker;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;

/** Receives the outputs of a {@link WorkerAgent}. */
public interface WorkerOutput {
    /**
     * Sends a message to an entry; the message is dropped if there is no link.
     *
     * @param entry the receiver
     * @param message the message
     */
    void send(Incarnation entry, Message message);

    /**
     * Orders the worker to start a run; {@link WorkerAgent#startAnswered} receives the reply.
     *
     * @param incarnation the incarnation that the order is for
     * @param spec the specification of the task
     * @param request the run and the resources that it needs
     * @param fence the fencing token
     * @param leaseExpiryMillis when the worker's lease expires unless extended, by the worker's clock, in ms
     */
    void start(WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long leaseExpiryMillis);

    /**
     * Orders the worker to stop a run; {@link WorkerAgent#stopAnswered} receives the reply.
     *
     * @param incarnation the incarnation that the order is for
     * @param run the run
     * @param fence the fencing token
     */
    void stop(WorkerIncarnation incarnation, RunRef run, long fence);

    /**
     * Extends the worker's lease and requests its run list; {@link WorkerAgent#listAnswered} or {@link
     * WorkerAgent#listFailed} receives the reply.
     *
     * @param incarnation the incarnation that the request is for
     * @param fence the fencing token
     * @param acknowledged the number of the last processed run end
     * @param leaseExpiryMillis when the worker's lease expires unless extended, by the worker's clock, in ms; 0 to
     *     extend nothing
     * @param sentNanos the current time, which is passed back with the answer, in ns
     * @param waitMillis how long the worker waits for the end of a run before it answers, in ms
     */
    void list(
            WorkerIncarnation incarnation,
            long fence,
            long acknowledged,
            long leaseExpiryMillis,
            long sentNanos,
            int waitMillis);

    /**
     * Asks the worker for its own view of its health; {@link WorkerAgent#healthChecked} receives the result.
     *
     * @param incarnation the incarnation that the check is for
     */
    default void checkHealth(WorkerIncarnation incarnation) {
        // An output without health checks is not asked for one.
    }

    /**
     * Returns whether workers can be asked for their health.
     *
     * @return true if they can
     */
    default boolean canCheckHealth() {
        return false;
    }

    /**
     * Logs a change of the agent's view of its worker, for the analysis of failures.
     *
     * @param event what happened
     * @param detail the inputs of the decision
     */
    void logEvent(String event, String detail);

    /**
     * Counts an event for the metrics of the process.
     *
     * @param counter the counter to increment
     */
    default void count(RunCounter counter) {
        // An output without metrics counts nothing.
    }
}
