package org.knapweedmount.core.metric;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * A histogram of durations for each constant of an enum, written by one thread and readable by any thread.
 *
 * @param <E> the enum that names the kinds of durations
 */
public final class MillisHistogram<E extends Enum<E>> {
    private final List<E> kinds;
    private final List<Integer> boundsMillis;
    private final Map<E, AtomicLongArray> counts;

    /**
     * Creates an empty histogram.
     *
     * @param kinds the enum that names the kinds of durations
     * @param boundsMillis the upper bounds of the buckets, in ms, ascending; longer durations have a bucket as well
     */
    public MillisHistogram(Class<E> kinds, List<Integer> boundsMillis) {
        this.kinds = List.of(kinds.getEnumConstants());
        this.boundsMillis = List.copyOf(boundsMillis);
        this.counts = new EnumMap<>(kinds);
        this.kinds.forEach(kind -> counts.put(kind, new AtomicLongArray(boundsMillis.size() + 1)));
    }

    /**
     * Counts a duration.
     *
     * @param kind its kind
     * @param millis the duration, in ms
     */
    public void record(E kind, long millis) {
        int index = 0;
        while (index < boundsMillis.size() && millis > boundsMillis.get(index)) {
            index++;
        }
        counts.get(kind).incrementAndGet(index);
    }

    /**
     * Returns the kinds of durations.
     *
     * @return the constants of the enum
     */
    public List<E> kinds() {
        return kinds;
    }

    /**
     * Returns the upper bounds of the buckets but the last one.
     *
     * @return the bounds, in ms
     */
    public List<Integer> boundsMillis() {
        return boundsMillis;
    }

    /**
     * Returns the number of durations in the first buckets.
     *
     * @param kind the kind
     * @param buckets the number of buckets to add up, at most one more than there are bounds
     * @return the number of durations
     */
    public long cumulativeCount(E kind, int buckets) {
        long sum = 0;
        for (int index = 0; index < buckets; index++) {
            sum += counts.get(kind).get(index);
        }
        return sum;
    }
}
