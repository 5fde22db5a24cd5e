package org.knapweedmount.daemon.runtime;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Context;
import io.vertx.core.internal.ContextInternal;
import org.knapweedmount.core.event.EventPriority;
import org.knapweedmount.core.event.PriorityEvents;
import org.tinylog.Logger;

/**
 * A decision queue that runs its events on the event loop, for processes whose CPU share is too small for a separate
 * decision thread.
 *
 * <p>Events from the event loop run without a switch to another thread, those of a higher priority first. After a time
 * slice the event loop reads its sockets before it goes on, so that events of a high priority are found also while others
 * wait. The number of waiting events of each priority is bounded. An event that throws is counted and logged, and the next
 * one is run.
 *
 * @param <T> the type of the decision module
 */
public final class EventLoopDecisionQueue<T> implements DecisionQueue<T> {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long events are run before the sockets are read again; short compared with the 60 ms that short jobs may wait. */
    private static final long SLICE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final ContextInternal context;
    private final ScheduledExecutorService eventLoop;
    private final NanoClock clock;
    private final int maxWaitingEvents;
    private final PriorityEvents<WaitingEvent<T>> events = new PriorityEvents<>();
    private final Map<EventPriority, AtomicInteger> waitingEvents = new EnumMap<>(EventPriority.class);
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failures = new AtomicLong();
    private boolean runScheduled;
    private long lastLogNanos;
    private long longestWaitNanos;
    private T module;

    private record WaitingEvent<T>(EventPriority priority, Decision<T> decision, long offeredNanos) {}

    /**
     * Creates a queue; {@link #start} has to be called before events are offered.
     *
     * @param context the event loop
     * @param maxWaitingEvents the largest number of waiting events of one priority
     * @param clock the clock that is read for each event
     */
    public EventLoopDecisionQueue(Context context, int maxWaitingEvents, NanoClock clock) {
        this.context = (ContextInternal) context;
        this.eventLoop = this.context.nettyEventLoop();
        this.maxWaitingEvents = maxWaitingEvents;
        this.clock = clock;
        this.lastLogNanos = clock.nanos() - LOG_INTERVAL_NANOS;
        for (EventPriority priority : EventPriority.values()) {
            waitingEvents.put(priority, new AtomicInteger());
        }
    }

    /**
     * Sets the decision module; called before any event is offered.
     *
     * @param decisionModule the decision module, which only the event loop may use from now on
     */
    public void start(T decisionModule) {
        this.module = decisionModule;
    }

    /**
     * Returns the queue for events of a priority.
     *
     * @param priority the priority
     * @return a queue whose events are run on the same event loop
     */
    public DecisionQueue<T> ofPriority(EventPriority priority) {
        return decision -> offer(priority, decision);
    }

    /** Offers an event of the lowest priority. */
    @Override
    public boolean offer(Decision<T> decision) {
        return offer(EventPriority.CALLER, decision);
    }

    private boolean offer(EventPriority priority, Decision<T> decision) {
        if (waitingEvents.get(priority).incrementAndGet() > maxWaitingEvents) {
            waitingEvents.get(priority).decrementAndGet();
            refused.incrementAndGet();
            return false;
        }
        WaitingEvent<T> event = new WaitingEvent<>(priority, decision, clock.nanos());
        if (context.inThread()) {
            add(event);
        } else {
            eventLoop.execute(() -> add(event));
        }
        return true;
    }

    /** Adds an event; it is never run at once, as one that is offered by a decision must see the state after that. */
    private void add(WaitingEvent<T> event) {
        events.add(event.priority(), event);
        if (!runScheduled) {
            runScheduled = true;
            eventLoop.execute(() -> context.dispatch(this::runSlice));
        }
    }

    private void runSlice() {
        boolean done = false;
        try {
            done = runEvents();
        } finally {
            runScheduled = !done;
            if (runScheduled) {
                scheduleSlice();
            }
        }
    }

    /** Runs the next slice after the sockets have been read, as a task that is only executed would not. */
    @SuppressWarnings("FutureReturnValueIgnored") // the events log their failures
    private void scheduleSlice() {
        eventLoop.schedule(() -> context.dispatch(this::runSlice), 0, TimeUnit.NANOSECONDS);
    }

    /** Runs events until none waits or the time slice is over; returns true if none waits. */
    private boolean runEvents() {
        long startNanos = clock.nanos();
        long nowNanos = startNanos;
        while (nowNanos - startNanos < SLICE_NANOS) {
            Optional<WaitingEvent<T>> next = events.poll();
            if (next.isEmpty()) {
                return true;
            }
            run(next.get(), nowNanos);
            nowNanos = clock.nanos();
        }
        return events.isEmpty();
    }

    private void run(WaitingEvent<T> event, long nowNanos) {
        waitingEvents.get(event.priority()).decrementAndGet();
        longestWaitNanos = Math.max(longestWaitNanos, nowNanos - event.offeredNanos());
        try {
            event.decision().decide(module, nowNanos);
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
        return waitingEvents.values().stream().mapToLong(AtomicInteger::get).sum();
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
