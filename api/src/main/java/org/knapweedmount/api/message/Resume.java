package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.TaskId;

/**
 * Asks, on a new link between the same incarnations, what became of tasks sent over the earlier link.
 *
 * <p>The agent ignores every start up to the given sequence number that it has not received by now.
 *
 * @param lastSequence the highest sequence number that the entry has sent to this agent
 * @param tasks the tasks without an answer
 */
public record Resume(long lastSequence, List<TaskId> tasks) implements Message {
    /** Copies the list. */
    public Resume {
        tasks = List.copyOf(tasks);
    }
}
