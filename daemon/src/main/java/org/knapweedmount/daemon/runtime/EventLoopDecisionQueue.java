package org.knapweedmount.daemon.runtime;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Context;
import org.tinylog.Logger;

/**
 * Decisions taken on the event loop itself, for processes whose share of a core is too small for a thread of decisions.
 *
 * <p>What arrives on the event loop is decided there without waking another thread; the number of waiting events is
 * bounded. An event that throws is counted and logged, and the next one is run.
 *
 * @param <T> the decision module
 */
public final class EventLoopDecisionQueue<T> implements DecisionQueue<T> {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Context context;
    private final NanoClock clock;
    private final int maxWaiting;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failures = new AtomicLong();
    private long lastLogNanos;
    private T module;

    /**
     * Creates a queue whose events wait until {@link #start}.
     *
     * @param context the event loop
     * @param maxWaiting the number of events that may wait
     * @param clock the clock whose time is passed to the events
     */
    public EventLoopDecisionQueue(Context context, int maxWaiting, NanoClock clock) {
        this.context = context;
        this.maxWaiting = maxWaiting;
        this.clock = clock;
        this.lastLogNanos = clock.nanos() - LOG_INTERVAL_NANOS;
    }

    /**
     * Runs events from now on; called before anything is offered.
     *
     * @param decided the decision module, which only the event loop uses from now on
     */
    public void start(T decided) {
        this.module = decided;
    }

    @Override
    public boolean offer(Decision<T> decision) {
        if (waiting.incrementAndGet() > maxWaiting) {
            waiting.decrementAndGet();
            refused.incrementAndGet();
            return false;
        }
        // Never at once: an event that is offered by a decision sees the state after that decision.
        context.runOnContext(ignored -> run(decision));
        return true;
    }

    private void run(Decision<T> decision) {
        waiting.decrementAndGet();
        long nowNanos = clock.nanos();
        try {
            decision.decide(module, nowNanos);
        } catch (RuntimeException e) {
            failures.incrementAndGet();
            if (nowNanos - lastLogNanos >= LOG_INTERVAL_NANOS) {
                lastLogNanos = nowNanos;
                Logger.error(e, "an event failed, {} so far", failures.get());
            }
        }
    }

    /**
     * Counts the events that wait.
     *
     * @return the number of events
     */
    public long depth() {
        return waiting.get();
    }

    /**
     * Counts the events that were refused because too many waited.
     *
     * @return the number of refused events
     */
    public long refused() {
        return refused.get();
    }

    /**
     * Counts the events that ended by an exception.
     *
     * @return the number of events
     */
    public long failures() {
        return failures.get();
    }
}
