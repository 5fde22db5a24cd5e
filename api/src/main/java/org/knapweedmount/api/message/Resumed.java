package org.knapweedmount.api.message;

import java.util.List;

/**
 * Tells what became of the tasks that a {@link Resume} asked for.
 *
 * @param lastSequence the sequence number of the {@link Resume}; the states hold for starts up to it
 * @param tasks the state of each task asked for
 */
public record Resumed(long lastSequence, List<TaskReport> tasks) implements Message {
    /** Copies the list. */
    public Resumed {
        tasks = List.copyOf(tasks);
    }
}
