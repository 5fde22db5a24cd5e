package org.knapweedmount.daemon.runtime;

import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Vertx;

/**
 * Runs a periodic task on the decision thread.
 *
 * <p>No tick is queued while another one waits, so that ticks do not pile up at a slow decision thread.
 *
 * @param <T> the type of the decision module
 */
public final class Ticker<T> implements AutoCloseable {
    private final DecisionQueue<T> queue;
    private final Decision<T> tick;
    private final AtomicBoolean tickPending = new AtomicBoolean();
    private final Vertx vertx;
    private final long timer;

    private Ticker(Vertx vertx, int intervalMillis, DecisionQueue<T> queue, Decision<T> tick) {
        this.vertx = vertx;
        this.queue = queue;
        this.tick = tick;
        this.timer = vertx.setPeriodic(intervalMillis, id -> offer());
    }

    /**
     * Starts a ticker.
     *
     * @param vertx provides the timer
     * @param intervalMillis the interval between ticks, in ms
     * @param queue the queue of the decision thread
     * @param tick the periodic task
     * @param <T> the type of the decision module
     * @return the running ticker
     */
    public static <T> Ticker<T> start(Vertx vertx, int intervalMillis, DecisionQueue<T> queue, Decision<T> tick) {
        return new Ticker<>(vertx, intervalMillis, queue, tick);
    }

    private void offer() {
        if (!tickPending.compareAndSet(false, true)) {
            return;
        }
        if (!queue.offer(this::run)) {
            tickPending.set(false);
        }
    }

    private void run(T core, long nowNanos) {
        tickPending.set(false);
        tick.decide(core, nowNanos);
    }

    /** Stops the timer; a tick that waits in the queue is still run. */
    @Override
    public void close() {
        vertx.cancelTimer(timer);
    }
}
