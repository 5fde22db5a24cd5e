package org.knapweedmount.daemon.runtime;

import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Vertx;

/**
 * Lets the decision thread do what is due, at a fixed interval.
 *
 * <p>While a tick waits in the ring no other is added, so that a slow decision thread is not given more to do.
 *
 * @param <T> the decision module
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
     * Starts to tick.
     *
     * @param vertx provides the timer
     * @param intervalMillis the time between ticks, in ms
     * @param queue takes the ticks
     * @param tick what is done
     * @param <T> the decision module
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

    /** Stops to tick; a tick that waits in the ring is still run. */
    @Override
    public void close() {
        vertx.cancelTimer(timer);
    }
}
