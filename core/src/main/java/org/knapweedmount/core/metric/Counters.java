package org.knapweedmount.core.metric;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One counter per constant of an enum, written by one thread and readable by any thread.
 *
 * @param <E> the enum that names the counters
 */
public final class Counters<E extends Enum<E>> {
    private final Map<E, AtomicLong> values;

    /**
     * Creates the counters with the value 0.
     *
     * @param names the enum that names the counters
     */
    public Counters(Class<E> names) {
        this.values = new EnumMap<>(names);
        for (E name : names.getEnumConstants()) {
            values.put(name, new AtomicLong());
        }
    }

    /**
     * Adds 1 to a counter.
     *
     * @param name the counter
     */
    public void increment(E name) {
        add(name, 1);
    }

    /**
     * Adds to a counter.
     *
     * @param name the counter
     * @param amount the amount to add, not negative
     */
    public void add(E name, long amount) {
        values.get(name).addAndGet(amount);
    }

    /**
     * Returns the value of a counter.
     *
     * @param name the counter
     * @return the value
     */
    public long value(E name) {
        return values.get(name).get();
    }
}
