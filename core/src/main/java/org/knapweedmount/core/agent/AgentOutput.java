package org.knapweedmount.core.agent;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.message.Message;

/** Performs the actions that {@link AgentCore} decides on; no method blocks or calls back into the core. */
public interface AgentOutput {
    /**
     * Sends a message on the link to an entry; the message is dropped if there is no such link.
     *
     * @param entry the receiver
     * @param message the message
     */
    void send(Incarnation entry, Message message);

    /**
     * Sends a task to an endpoint; its end is reported by {@link AgentCore#taskEnded}.
     *
     * @param endpoint the ID under which the endpoint announced itself
     * @param task the task's ID
     * @param spec the task
     */
    void start(String endpoint, TaskId task, TaskSpec spec);

    /**
     * Asks an endpoint to stop a running task; its end is still reported by {@link AgentCore#taskEnded}.
     *
     * @param endpoint the ID under which the endpoint announced itself
     * @param task the task's ID
     */
    void stop(String endpoint, TaskId task);
}
