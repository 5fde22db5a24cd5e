package org.knapweedmount.daemon.output;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongFunction;

/**
 * A bounded queue of lines and the daemon thread that writes them.
 *
 * <p>Only that thread waits for the reader of the output. Lines beyond the bound are dropped and counted; a notice of
 * them is written as soon as the queue has been emptied. Any thread may call the methods.
 */
public final class LineQueue {
    /** Writes of up to this length to a pipe are atomic on Linux, so that lines of several processes do not mix. */
    private static final int MAX_BATCH_CHARS = 4_096;

    private final BlockingQueue<Line> lines;
    private final Limits limits;
    private final LongFunction<String> dropNotice;
    private final AtomicInteger queuedChars = new AtomicInteger();
    private final AtomicLong queuedLines = new AtomicLong();
    private final AtomicLong droppedLines = new AtomicLong();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition progress = lock.newCondition();
    private long writtenLines; // guarded by lock
    private long reportedDrops; // used by the writer thread only

    /** A line with its line end, and the stream that it goes to. */
    private record Line(PrintStream target, String text) {}

    /**
     * The bounds of a queue.
     *
     * @param lines the maximum number of lines
     * @param reservedLines the number of these that rate-limited lines leave to others
     * @param chars the maximum total length of the lines
     */
    public record Limits(int lines, int reservedLines, int chars) {}

    /**
     * Creates an empty queue and starts its thread.
     *
     * @param limits the bounds of the queue
     * @param dropNotice makes the notice, without a line end, of a number of dropped lines
     */
    public LineQueue(Limits limits, LongFunction<String> dropNotice) {
        this.limits = limits;
        this.dropNotice = dropNotice;
        this.lines = new ArrayBlockingQueue<>(limits.lines());
        Thread writer = new Thread(this::writeLines, "output");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Queues a line, or drops and counts it if the queue is full.
     *
     * @param target the stream that it goes to
     * @param text the line with its line end
     */
    public void add(PrintStream target, String text) {
        boolean fits = queuedChars.addAndGet(text.length()) <= limits.chars();
        if (fits && lines.offer(new Line(target, text))) {
            queuedLines.incrementAndGet();
            return;
        }
        queuedChars.addAndGet(-text.length());
        droppedLines.incrementAndGet();
    }

    /**
     * Returns whether the queue has room for a rate-limited line besides the reserved room for other lines.
     *
     * @return false if the line is to be dropped by its source, which reports it
     */
    public boolean hasRoom() {
        return lines.remainingCapacity() > limits.reservedLines() && queuedChars.get() < limits.chars() / 2;
    }

    /**
     * Counts the lines that were dropped by {@link #add}.
     *
     * @return the number of lines since the start
     */
    public long droppedLines() {
        return droppedLines.get();
    }

    /**
     * Waits until the lines that are queued now have been written.
     *
     * @param limitMillis the maximum duration, in ms
     * @return false if lines are left, or if the thread is interrupted, whose interrupt status is then set
     */
    public boolean flush(int limitMillis) {
        long target = queuedLines.get();
        long remainingNanos = TimeUnit.MILLISECONDS.toNanos(limitMillis);
        lock.lock();
        try {
            while (writtenLines < target && remainingNanos > 0) {
                remainingNanos = progress.awaitNanos(remainingNanos);
            }
            return writtenLines >= target;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            lock.unlock();
        }
    }

    private void writeLines() {
        try {
            while (true) {
                writeBatch(lines.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeBatch(Line first) {
        StringBuilder batch = new StringBuilder(first.text());
        int count = 1;
        for (Line next = lines.peek(); belongsTo(batch, first.target(), next); next = lines.peek()) {
            batch.append(next.text());
            lines.remove();
            count++;
        }
        int chars = batch.length();
        first.target().print(batch);
        first.target().flush();
        queuedChars.addAndGet(-chars);
        if (lines.isEmpty()) {
            writeDropNotice(first.target());
        }
        lock.lock();
        try {
            writtenLines += count;
            progress.signalAll();
        } finally {
            lock.unlock();
        }
    }

    private static boolean belongsTo(StringBuilder batch, PrintStream target, Line next) {
        return next != null
                && next.target() == target
                && batch.length() + next.text().length() <= MAX_BATCH_CHARS;
    }

    private void writeDropNotice(PrintStream target) {
        long count = droppedLines.get() - reportedDrops;
        if (count > 0) {
            target.println(dropNotice.apply(count));
            target.flush();
            reportedDrops += count;
        }
    }
}
