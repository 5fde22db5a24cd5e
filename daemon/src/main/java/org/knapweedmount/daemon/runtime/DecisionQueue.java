package org.knapweedmount.daemon.runtime;

/**
 * A bounded queue of events for the decision thread; any thread may offer events.
 *
 * @param <T> the type of the decision module
 */
public interface DecisionQueue<T> {
    /**
     * Offers an event without waiting.
     *
     * @param decision the event
     * @return false if the queue is full, in which case the event is not run
     */
    boolean offer(Decision<T> decision);
}
