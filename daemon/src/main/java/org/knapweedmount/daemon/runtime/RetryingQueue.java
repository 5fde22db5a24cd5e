package org.knapweedmount.daemon.runtime;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vertx.core.Vertx;

/**
 * Queues events that must not be lost for the decision thread, and retries in order while the decision queue is full.
 *
 * <p>The queue itself is unbounded: each event is the result of a request of the decision thread, and the number of
 * those is limited where they are made. Any thread may use it.
 *
 * @param <T> the type of the decision module
 */
public final class RetryingQueue<T> {
    private static final int RETRY_INTERVAL_MILLIS = 5;

    private final Vertx vertx;
    private final DecisionQueue<T> queue;
    private final Deque<Decision<T>> waiting = new ArrayDeque<>();
    private boolean timerSet;

    /**
     * Creates an empty queue.
     *
     * @param vertx provides the timers
     * @param queue the queue of the decision thread
     */
    public RetryingQueue(Vertx vertx, DecisionQueue<T> queue) {
        this.vertx = vertx;
        this.queue = queue;
    }

    /**
     * Offers an event now, or later if the decision queue is full.
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
