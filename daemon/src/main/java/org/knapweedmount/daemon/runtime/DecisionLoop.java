package org.knapweedmount.daemon.runtime;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.EventTranslatorOneArg;
import com.lmax.disruptor.ExceptionHandler;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import org.tinylog.Logger;

/**
 * The decision thread of a process, fed by a bounded ring buffer.
 *
 * <p>All events run on this thread, so that the decision module needs no locks. An event that throws is counted and
 * logged, and the thread continues with the next one, because a fault in one request must not fail all others.
 *
 * @param <T> the type of the decision module
 */
public final class DecisionLoop<T> implements DecisionQueue<T>, AutoCloseable {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CLOSE_TIMEOUT_SECONDS = 5;

    private final NanoClock clock;
    private final int ringSize;
    private final Disruptor<Slot<T>> disruptor;
    private final AtomicLong refused = new AtomicLong();
    private final AtomicLong failures = new AtomicLong();
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private volatile boolean closed;
    private T core;

    private static final class Slot<T> {
        private Decision<T> decision;
    }

    /**
     * Creates a loop that accepts events at once and runs them after {@link #start}.
     *
     * @param name the name of the thread
     * @param ringSize the capacity of the ring buffer in events, a power of two
     * @param clock the clock that is read for each event
     */
    public DecisionLoop(String name, int ringSize, NanoClock clock) {
        this.clock = clock;
        this.ringSize = ringSize;
        this.disruptor = new Disruptor<>(
                Slot::new, ringSize, task -> newThread(name, task), ProducerType.MULTI, new BlockingWaitStrategy());
        disruptor.setDefaultExceptionHandler(new FailureHandler());
        disruptor.handleEventsWith(new DecisionRunner());
    }

    private static Thread newThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Starts the thread and waits until it runs; otherwise a close before that would treat the ring buffer as empty and
     * lose its events.
     *
     * @param module the decision module, which no other thread may use from now on
     */
    public void start(T module) {
        this.core = module;
        disruptor.start();
        started.join();
    }

    @Override
    public boolean offer(Decision<T> decision) {
        EventTranslatorOneArg<Slot<T>, Decision<T>> fill = (slot, sequence, offered) -> slot.decision = offered;
        boolean accepted = !closed && disruptor.getRingBuffer().tryPublishEvent(fill, decision);
        if (!accepted) {
            refused.incrementAndGet();
        }
        return accepted;
    }

    /**
     * Counts the events that are waiting or running.
     *
     * @return the number of events in the ring buffer
     */
    public long depth() {
        return ringSize - disruptor.getRingBuffer().remainingCapacity();
    }

    /**
     * Counts the events that were refused because the ring buffer was full or the loop was closed.
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

    /** Refuses further events, runs the waiting ones, and stops the thread; events left after 5 s are dropped. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        try {
            disruptor.shutdown(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            Logger.warn("decision thread stopped with {} events not run", depth());
            disruptor.halt();
        }
    }

    private final class DecisionRunner implements EventHandler<Slot<T>> {
        @Override
        public void onStart() {
            started.complete(null);
        }

        @Override
        public void onEvent(Slot<T> slot, long sequence, boolean endOfBatch) {
            Decision<T> decision = slot.decision;
            slot.decision = null;
            decision.decide(core, clock.nanos());
        }
    }

    private final class FailureHandler implements ExceptionHandler<Slot<T>> {
        private long lastLogNanos = clock.nanos() - LOG_INTERVAL_NANOS;

        @Override
        public void handleEventException(Throwable failure, long sequence, Slot<T> slot) {
            failures.incrementAndGet();
            long nowNanos = clock.nanos();
            if (nowNanos - lastLogNanos >= LOG_INTERVAL_NANOS) {
                lastLogNanos = nowNanos;
                Logger.error(failure, "event failed; {} failures so far", failures.get());
            }
        }

        @Override
        public void handleOnStartException(Throwable failure) {
            Logger.error(failure, "decision thread failed to start");
        }

        @Override
        public void handleOnShutdownException(Throwable failure) {
            Logger.error(failure, "decision thread failed to shut down");
        }
    }
}
