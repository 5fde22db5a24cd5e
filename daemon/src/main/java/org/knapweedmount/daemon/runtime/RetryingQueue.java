package org.knapweedmount.daemon.runtime;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vertx.core.Vertx;

/**
 * Passes events to the decision thread that must not be lost; while the ring is full they wait, in order.
 *
 * <p>Each event is the result of something that the decision thread asked for, so that their number is bounded where they
 * arise. Any thread may use it.
 *
 * @param <T> the decision module
 */
public final class RetryingQueue<T> {
    private static final int RETRY_INTERVAL_MILLIS = 5;

    private final Vertx vertx;
    private final DecisionQueue<T> queue;
    private final Deque<Decision<T>> waiting = new ArrayDeque<>();
    private boolean timerSet;

    /**
     * Creates a queue in which nothing waits.
     *
     * @param vertx starts the timers
     * @param queue the ring of the decision thread
     */
    public RetryingQueue(Vertx vertx, DecisionQueue<T> queue) {
        this.vertx = vertx;
        this.queue = queue;
    }

    /**
     * Passes an event on, now or later.
     *
     * @param decision the event
     */
    public synchronized void add(Decision<T> decision) {
        waiting.add(decision);
        offerWaiting();
    }

    private synchronized void offerWaiting() {
        while (!waiting.isEmpty() && queue.offer(waiting.peek())) {
            waiting.remove();
        }
        if (!waiting.isEmpty() && !timerSet) {
            timerSet = true;
            vertx.setTimer(RETRY_INTERVAL_MILLIS, fired -> retry());
        }
    }

    private synchronized void retry() {
        timerSet = false;
        offerWaiting();
    }
}
