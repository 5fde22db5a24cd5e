package org.knapweedmount.daemon.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

import org.tinylog.Logger;

/**
 * A structured log of decisions that never blocks the decision thread.
 *
 * <p>Lines are rate-limited per event name, so that frequent events do not displace rare ones; dropped lines are
 * counted and reported in a line, by event. A dedicated thread writes the lines.
 */
public final class DecisionLog implements AutoCloseable {
    private static final int MAX_QUEUED_LINES = 2_048; // two seconds of lines at the full rate of all events
    private static final int MAX_LINES_PER_EVENT_PER_SECOND = 40; // enough to trace single requests at low load
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final Map<String, Integer> linesThisSecond = new HashMap<>();
    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
    private final Map<String, Integer> unreportedDrops = new ConcurrentSkipListMap<>();
    private final AtomicLong droppedLines = new AtomicLong();
    private final Consumer<String> output;
    private final Thread writer;
    private long secondStartNanos;

    /**
     * Creates a log and starts its writer thread.
     *
     * @param process the name of the process, contained in each line
     */
    public DecisionLog(String process) {
        this(line -> Logger.info("process={} {}", process, line));
    }

    DecisionLog(Consumer<String> output) {
        this.output = output;
        this.writer = new Thread(this::write, "decision-log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Queues a line if the rate limit of the event allows it; called on the decision thread.
     *
     * @param event the name of the event
     * @param detail the inputs of the decision
     * @param nowNanos the current time, in ns
     */
    public void logEvent(String event, String detail, long nowNanos) {
        counts.computeIfAbsent(event, unknown -> new LongAdder()).increment();
        if (nowNanos - secondStartNanos >= SECOND_NANOS) {
            secondStartNanos = nowNanos;
            linesThisSecond.clear();
            reportDroppedLines();
        }
        boolean withinRateLimit = linesThisSecond.merge(event, 1, Integer::sum) <= MAX_LINES_PER_EVENT_PER_SECOND;
        if (!withinRateLimit || !lines.offer("event=" + event + " " + detail)) {
            droppedLines.incrementAndGet();
            unreportedDrops.merge(event, 1, Integer::sum);
        }
    }

    private void reportDroppedLines() {
        if (unreportedDrops.isEmpty()) {
            return;
        }
        int count =
                unreportedDrops.values().stream().mapToInt(Integer::intValue).sum();
        if (lines.offer("event=lines-left-out count=" + count + " events=" + unreportedDrops)) {
            unreportedDrops.clear();
        }
    }

    /**
     * Counts the dropped lines.
     *
     * @return the number of lines since the start
     */
    public long droppedLines() {
        return droppedLines.get();
    }

    /**
     * Counts the events, including those whose lines were dropped; any thread may call it.
     *
     * @return the number of events since the start, by event name
     */
    public Map<String, Long> counts() {
        Map<String, Long> sums = new TreeMap<>();
        counts.forEach((event, sum) -> sums.put(event, sum.sum()));
        return sums;
    }

    private void write() {
        try {
            while (true) {
                output.accept(lines.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeQueuedLines() {
        for (String line = lines.poll(); line != null; line = lines.poll()) {
            output.accept(line);
        }
    }

    /** Stops the writer thread and writes the queued lines and the number of dropped ones. */
    @Override
    public void close() {
        writer.interrupt();
        writeQueuedLines();
        reportDroppedLines();
        writeQueuedLines();
    }
}
