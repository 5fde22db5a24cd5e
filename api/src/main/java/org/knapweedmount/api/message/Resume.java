package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.TaskId;

/**
 * Asks, on a new link between the same incarnations, for the state of tasks that were sent on the previous link.
 *
 * <p>From then on the agent ignores every start up to the given sequence number that it has not yet received.
 *
 * @param lastSequence the highest sequence number that the entry has sent to this agent
 * @param tasks the tasks for which the entry has received no answer
 */
public record Resume(long lastSequence, List<TaskId> tasks) implements Message {
    /** Copies the list of tasks. */
    public Resume {
        tasks = List.copyOf(tasks);
    }
}
