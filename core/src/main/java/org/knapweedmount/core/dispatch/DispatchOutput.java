package org.knapweedmount.core.dispatch;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Message;

/** Where the decisions of a dispatcher go to. */
public interface DispatchOutput {
    /**
     * Sends a message to an agent or another entry; dropped if there is no link.
     *
     * @param peer the receiver
     * @param message the message
     */
    void send(Incarnation peer, Message message);

    /**
     * Answers a job's caller.
     *
     * @param job the job's id
     * @param verdict the answer
     */
    void answer(String job, JobResult verdict);

    /**
     * Notes a decision about a job or a change of what the entry believes, for whoever explains a failure later.
     *
     * @param event what was decided
     * @param detail the job and the inputs that decided it
     */
    void logEvent(String event, String detail);
}
