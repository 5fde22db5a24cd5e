package org.knapweedmount.daemon.runtime;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;

import org.knapweedmount.daemon.output.ProcessOutput;
import org.tinylog.Logger;

/**
 * A structured log of decisions that never blocks the decision thread.
 *
 * <p>Lines are rate-limited per event name, so that frequent events do not displace rare ones; dropped lines are
 * counted and reported in a line, by event. {@link ProcessOutput} queues the lines and writes them on its own thread.
 */
public final class DecisionLog implements AutoCloseable {
    private static final int MAX_LINES_PER_EVENT_PER_SECOND = 40; // enough to trace single requests at low load
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Integer> linesThisSecond = new HashMap<>();
    private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
    private final Map<String, Integer> unreportedDrops = new ConcurrentSkipListMap<>();
    private final AtomicLong droppedLines = new AtomicLong();
    private final Predicate<String> output;
    private long secondStartNanos;

    /**
     * Creates a log.
     *
     * @param process the name of the process, contained in each line
     */
    public DecisionLog(String process) {
        this(line -> writeIfRoom(process, line));
    }

    /**
     * Creates a log with another output.
     *
     * @param output takes a line without blocking; returns false if it drops the line
     */
    DecisionLog(Predicate<String> output) {
        this.output = output;
    }

    private static boolean writeIfRoom(String process, String line) {
        if (!ProcessOutput.hasRoom()) {
            return false;
        }
        Logger.info("process={} {}", process, line);
        return true;
    }

    /**
     * Writes a line if the rate limit of the event allows it; called on the decision thread.
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
        if (!withinRateLimit || !output.test("event=" + event + " " + detail)) {
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
        if (output.test("event=lines-left-out count=" + count + " events=" + unreportedDrops)) {
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

    /** Reports the dropped lines that no line has reported yet. */
    @Override
    public void close() {
        reportDroppedLines();
    }
}
