package org.knapweedmount.api.message;

import java.util.List;

/**
 * Answers a {@link Resume}.
 *
 * @param lastSequence the sequence number in the {@link Resume}; the states apply to starts up to this number
 * @param tasks the state of each task in the {@link Resume}
 */
public record Resumed(long lastSequence, List<TaskReport> tasks) implements Message {
    /** Copies the list of reports. */
    public Resumed {
        tasks = List.copyOf(tasks);
    }
}
