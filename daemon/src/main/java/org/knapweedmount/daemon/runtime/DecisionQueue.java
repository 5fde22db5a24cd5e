package org.knapweedmount.daemon.runtime;

/**
 * Passes events to the decision thread through a bounded ring; any thread may offer.
 *
 * @param <T> the decision module
 */
public interface DecisionQueue<T> {
    /**
     * Offers an event without waiting.
     *
     * @param decision the event
     * @return false if the ring is full, in which case the event is not run
     */
    boolean offer(Decision<T> decision);
}
