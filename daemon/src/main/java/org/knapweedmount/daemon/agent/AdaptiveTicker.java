package org.knapweedmount.daemon.agent;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;

import io.vertx.core.Context;
import org.knapweedmount.daemon.runtime.Decision;
import org.knapweedmount.daemon.runtime.DecisionQueue;

/**
 * Triggers the timed work of the decision thread, at a short interval while there is work and a long one while idle.
 *
 * <p>Ticks cause most wake-ups of an idle agent, and no timed work is urgent while the agent is idle. While a tick
 * waits in the decision queue, no other is added.
 *
 * @param <T> the decision module
 */
final class AdaptiveTicker<T> implements AutoCloseable {
    private final Context context;
    private final int busyIntervalMillis;
    private final int idleIntervalMillis;
    private final DecisionQueue<T> queue;
    private final Decision<T> tick;
    private final Predicate<T> isIdle;
    private final AtomicBoolean tickPending = new AtomicBoolean();
    private volatile boolean idle;
    private volatile boolean closed;
    private long timer;

    /**
     * Creates a ticker that is not started.
     *
     * @param context the event loop of the timer
     * @param busyIntervalMillis the time between ticks while there is work, in ms
     * @param idleIntervalMillis the time between ticks while there is no work, in ms
     * @param queue the decision queue
     * @param tick the timed work, run on the decision thread
     * @param isIdle returns whether there is no work; called on the decision thread
     */
    AdaptiveTicker(
            Context context,
            int busyIntervalMillis,
            int idleIntervalMillis,
            DecisionQueue<T> queue,
            Decision<T> tick,
            Predicate<T> isIdle) {
        this.context = context;
        this.busyIntervalMillis = busyIntervalMillis;
        this.idleIntervalMillis = idleIntervalMillis;
        this.queue = queue;
        this.tick = tick;
        this.isIdle = isIdle;
    }

    void start() {
        context.runOnContext(ignored -> schedule());
    }

    /** Returns to the short interval if there is work; called on the decision thread after events that may add work. */
    void wake(T module) {
        if (idle && !isIdle.test(module)) {
            idle = false;
            context.runOnContext(ignored -> reschedule());
        }
    }

    private void reschedule() {
        context.owner().cancelTimer(timer);
        schedule();
    }

    private void schedule() {
        if (!closed) {
            timer = context.owner().setTimer(idle ? idleIntervalMillis : busyIntervalMillis, fired -> fire());
        }
    }

    private void fire() {
        if (tickPending.compareAndSet(false, true) && !queue.offer(this::run)) {
            tickPending.set(false);
        }
        schedule();
    }

    private void run(T module, long nowNanos) {
        tickPending.set(false);
        tick.decide(module, nowNanos);
        idle = isIdle.test(module);
    }

    /** Stops the ticks; a tick that waits in the decision queue is still run. */
    @Override
    public void close() {
        closed = true;
    }
}
