package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.work.WorkQueue;

/**
 * Distributes the newest known queues to another entry.
 *
 * @param version the version of the configuration, which increases monotonically
 * @param queues all queues of that version
 */
public record QueueUpdate(long version, List<WorkQueue> queues) implements Message {
    /** Copies the list of queues. */
    public QueueUpdate {
        queues = List.copyOf(queues);
    }
}
