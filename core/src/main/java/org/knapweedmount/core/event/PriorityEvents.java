package org.knapweedmount.core.event;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;

/**
 * The waiting events of a process, ordered by priority and then by arrival.
 *
 * <p>Load pattern: more events arrive for seconds than a process can handle. What others depend on is handled before new
 * work, so that a process that is behind does not hold up the rest of the site, and ends the work that it has begun.
 *
 * <p>Not thread-safe.
 *
 * @param <E> the type of the events
 */
public final class PriorityEvents<E> {
    private final Map<EventPriority, Queue<E>> queues = new EnumMap<>(EventPriority.class);

    /** Creates an object without events. */
    public PriorityEvents() {
        for (EventPriority priority : EventPriority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    /**
     * Adds an event behind those of its priority.
     *
     * @param priority its priority
     * @param event the event
     */
    public void add(EventPriority priority, E event) {
        queues.get(priority).add(event);
    }

    /**
     * Removes the event that is to be handled next.
     *
     * @return the oldest event of the highest priority, empty if none waits
     */
    public Optional<E> poll() {
        for (Queue<E> queue : queues.values()) {
            E event = queue.poll();
            if (event != null) {
                return Optional.of(event);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns whether no event waits.
     *
     * @return true if there is no event
     */
    public boolean isEmpty() {
        return queues.values().stream().allMatch(Queue::isEmpty);
    }
}
