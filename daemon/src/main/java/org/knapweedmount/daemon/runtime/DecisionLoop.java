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
 * The one thread of a process that takes decisions, fed by a bounded ring.
 *
 * <p>Each event sees the decision module as the event before left it, so that the module needs no locks. An event that
 * throws is counted and logged, and the thread goes on with the next one: a fault in one request must not end all
 * others.
 *
 * @param <T> the decision module
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
     * Creates a loop that takes events from now on and runs them once it is started.
     *
     * @param name the name of the thread
     * @param ringSize the number of events that may wait, a power of two
     * @param clock the clock whose time is passed to the events
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
     * Starts the thread and waits until it runs, because the ring would take an end before that for an empty ring.
     *
     * @param module the decision module, which no other thread uses from now on
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
     * Counts the events that wait or are being run.
     *
     * @return the number of events in the ring
     */
    public long depth() {
        return ringSize - disruptor.getRingBuffer().remainingCapacity();
    }

    /**
     * Counts the events that were refused because the ring was full or closed.
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

    /** Refuses further events, runs those that wait, and ends the thread. */
    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        try {
            disruptor.shutdown(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            Logger.warn("{} events were left when the decision thread was stopped", depth());
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
                Logger.error(failure, "an event failed, {} so far", failures.get());
            }
        }

        @Override
        public void handleOnStartException(Throwable failure) {
            Logger.error(failure, "the decision thread did not start");
        }

        @Override
        public void handleOnShutdownException(Throwable failure) {
            Logger.error(failure, "the decision thread did not end cleanly");
        }
    }
}
