package org.knapweedmount.core.metric;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

/**
 * Collects the items of a frequent log event, so that its lines stay within the rate limit of the log.
 *
 * <p>A line has one group for each distinct detail and time, separated by semicolons. Each group starts with
 * {@code ago}, the ms between the event and the line. Not thread-safe.
 */
public final class EventBatch {
    /** The minimum interval between two lines, in ms; 34 lines a second are within the rate limit of the log. */
    private static final int MIN_LINE_INTERVAL_MILLIS = 30;

    private final String event;
    private final BiConsumer<String, String> sink;
    private final Map<Group, List<String>> groups = new LinkedHashMap<>();
    private boolean written;
    private long lastLineNanos;

    private record Group(String detail, String listName, long nanos) {}

    /**
     * Creates a batch without items.
     *
     * @param event the name of the event
     * @param sink receives the name of the event and the text of a line
     */
    public EventBatch(String event, BiConsumer<String, String> sink) {
        this.event = event;
        this.sink = sink;
    }

    /**
     * Adds an item to the group of its detail and time.
     *
     * @param detail what the items of the group have in common
     * @param listName the name of the list of items, for instance {@code runs}
     * @param item the item, without commas, brackets and semicolons
     * @param nowNanos the current time, in ns
     */
    public void add(String detail, String listName, String item, long nowNanos) {
        groups.computeIfAbsent(new Group(detail, listName, nowNanos), key -> new ArrayList<>())
                .add(item);
    }

    /**
     * Writes a line with all items, unless the last line was written a moment ago; called at the end of each event and
     * periodically.
     *
     * @param nowNanos the current time, in ns
     */
    public void flush(long nowNanos) {
        boolean tooSoon = written && nowNanos - lastLineNanos < TimeUnit.MILLISECONDS.toNanos(MIN_LINE_INTERVAL_MILLIS);
        if (groups.isEmpty() || tooSoon) {
            return;
        }
        written = true;
        lastLineNanos = nowNanos;
        StringBuilder line = new StringBuilder();
        groups.forEach((group, items) -> line.append(line.isEmpty() ? "" : "; ")
                .append("ago=")
                .append(TimeUnit.NANOSECONDS.toMillis(nowNanos - group.nanos()))
                .append(' ')
                .append(group.detail())
                .append(' ')
                .append(group.listName())
                .append('=')
                .append(items));
        groups.clear();
        sink.accept(event, line.toString());
    }
}
