package org.knapweedmount.daemon.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

import org.tinylog.Logger;

/**
 * Writes decisions as structured lines, without ever making a decision wait.
 *
 * <p>Each kind of event has a budget of lines for each second, so that rare events survive a flood of common ones; what is
 * left out is counted and told in a line. A thread of its own writes the lines.
 */
public final class DecisionLog implements AutoCloseable {
    private static final int QUEUED_LINES = 2_048; // two seconds of all budgets in use
    private static final int LINES_PER_SECOND = 40; // enough to follow a request on a quiet day
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUED_LINES);
    private final Map<String, Integer> written = new HashMap<>();
    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
    private final AtomicLong leftOut = new AtomicLong();
    private final Thread writer;
    private long secondNanos;
    private long reported;

    /**
     * Creates a log and starts its thread.
     *
     * @param process the name of the process, which each line has
     */
    public DecisionLog(String process) {
        this.writer = new Thread(() -> write(process), "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Writes a line if the event's budget allows it; called on the decision thread.
     *
     * @param event what was decided
     * @param detail the inputs that decided it
     * @param nowNanos the present time, in ns
     */
    public void logEvent(String event, String detail, long nowNanos) {
        counts.computeIfAbsent(event, unknown -> new LongAdder()).increment();
        if (nowNanos - secondNanos >= SECOND_NANOS) {
            secondNanos = nowNanos;
            written.clear();
            reportLeftOut();
        }
        boolean within = written.merge(event, 1, Integer::sum) <= LINES_PER_SECOND;
        if (!within || !lines.offer("event=" + event + " " + detail)) {
            leftOut.incrementAndGet();
        }
    }

    private void reportLeftOut() {
        long sum = leftOut.get();
        if (sum > reported && lines.offer("event=lines-left-out count=" + (sum - reported))) {
            reported = sum;
        }
    }

    /**
     * Counts the lines that were left out.
     *
     * @return the number of lines since the start
     */
    public long leftOut() {
        return leftOut.get();
    }

    /**
     * Counts the events, those whose lines were left out among them; any thread may call it.
     *
     * @return the number of events of each kind since the start
     */
    public Map<String, Long> counts() {
        Map<String, Long> sums = new TreeMap<>();
        counts.forEach((event, sum) -> sums.put(event, sum.sum()));
        return sums;
    }

    private void write(String process) {
        try {
            while (true) {
                Logger.info("process={} {}", process, lines.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the thread; lines that wait are written first. */
    @Override
    public void close() {
        writer.interrupt();
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            Logger.info(line);
        }
    }
}
