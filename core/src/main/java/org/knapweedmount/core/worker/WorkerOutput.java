package org.knapweedmount.core.worker;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;

/** Where the decisions about a worker go to. */
public interface WorkerOutput {
    /**
     * Sends a message to an entry; dropped if there is no link.
     *
     * @param entry the receiver
     * @param message the message
     */
    void send(Incarnation entry, Message message);

    /**
     * Orders the worker to start a run; the answer comes by {@link WorkerAgent#startAnswered}.
     *
     * @param life the life that is meant
     * @param spec what the task is to do
     * @param item the run
     * @param fence the fencing token
     * @param untilMillis when all runs end unless extended, by the worker's clock, in ms
     */
    void start(WorkerIncarnation life, String spec, RunRequest item, long fence, long untilMillis);

    /**
     * Orders the worker to stop a run; the answer comes by {@link WorkerAgent#stopAnswered}.
     *
     * @param life the life that is meant
     * @param run the run
     * @param fence the fencing token
     */
    void stop(WorkerIncarnation life, RunRef run, long fence);

    /**
     * Extends all runs and asks for the worker's list; the answer comes by {@link WorkerAgent#listAnswered} or
     * {@link WorkerAgent#listFailed}.
     *
     * @param life the life that is meant
     * @param fence the fencing token
     * @param acknowledged the number of the last end that is taken note of
     * @param untilMillis when all runs end unless extended, by the worker's clock, in ms; 0 to extend nothing
     * @param sentNanos the present time, which is handed back with the answer, in ns
     * @param waitMillis how long the worker waits for an end before it answers, in ms
     */
    void list(WorkerIncarnation life, long fence, long acknowledged, long untilMillis, long sentNanos, int waitMillis);

    /**
     * Notes a change of what the agent believes of its worker, for whoever explains a failure later.
     *
     * @param event what happened
     * @param detail the inputs that decided it
     */
    void logEvent(String event, String detail);
}
