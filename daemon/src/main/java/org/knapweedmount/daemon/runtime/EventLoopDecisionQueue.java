package org.knapweedmount.daemon.runtime;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Context;
import org.tinylog.Logger;

/**
 * A decision queue that runs its events on the event loop, for processes whose CPU share is too small for a separate
 * decision thread.
 *
 * <p>Events from the event loop run without a switch to another thread. The number of waiting events is bounded. An
 * event that throws is counted and logged, and the next one is run.
 *
 * @param <T> the type of the decision module
 */
public final class EventLoopDecisionQueue<T> implements DecisionQueue<T> {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Context context;
    private final NanoClock clock;
    private final int maxWaitingEvents;
    private final AtomicInteger waitingEvents = new AtomicInteger();
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failures = new AtomicLong();
    private long lastLogNanos;
    private long longestWaitNanos;
    private T module;

    /**
     * Creates a queue; {@link #start} has to be called before events are offered.
     *
     * @param context the event loop
     * @param maxWaitingEvents the largest number of waiting events
     * @param clock the clock that is read for each event
     */
    public EventLoopDecisionQueue(Context context, int maxWaitingEvents, NanoClock clock) {
        this.context = context;
        this.maxWaitingEvents = maxWaitingEvents;
        this.clock = clock;
        this.lastLogNanos = clock.nanos() - LOG_INTERVAL_NANOS;
    }

    /**
     * Sets the decision module; called before any event is offered.
     *
     * @param decisionModule the decision module, which only the event loop may use from now on
     */
    public void start(T decisionModule) {
        this.module = decisionModule;
    }

    @Override
    public boolean offer(Decision<T> decision) {
        if (waitingEvents.incrementAndGet() > maxWaitingEvents) {
            waitingEvents.decrementAndGet();
            refused.incrementAndGet();
            return false;
        }
        // Never run synchronously: an event that is offered by a decision must see the state after that decision.
        long offeredNanos = clock.nanos();
        context.runOnContext(ignored -> run(decision, offeredNanos));
        return true;
    }

    private void run(Decision<T> decision, long offeredNanos) {
        waitingEvents.decrementAndGet();
        long nowNanos = clock.nanos();
        longestWaitNanos = Math.max(longestWaitNanos, nowNanos - offeredNanos);
        try {
            decision.decide(module, nowNanos);
        } catch (RuntimeException e) {
            failures.incrementAndGet();
            if (nowNanos - lastLogNanos >= LOG_INTERVAL_NANOS) {
                lastLogNanos = nowNanos;
                Logger.error(e, "event failed; {} failures so far", failures.get());
            }
        }
    }

    /**
     * Returns how long an event has waited for the event loop at most since the last call; called on the event loop.
     *
     * @return the longest wait, in ns
     */
    public long takeLongestWaitNanos() {
        long longest = longestWaitNanos;
        longestWaitNanos = 0;
        return longest;
    }

    /**
     * Counts the waiting events.
     *
     * @return the number of events
     */
    public long depth() {
        return waitingEvents.get();
    }

    /**
     * Counts the events that were refused because the queue was full.
     *
     * @return the number of refused events
     */
    public long refused() {
        return refused.get();
    }

    /**
     * Counts the events that threw an exception.
     *
     * @return the number of events
     */
    public long failures() {
        return failures.get();
    }
}
