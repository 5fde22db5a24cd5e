package org.knapweedmount.daemon.link;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

import org.knapweedmount.api.message.Message;

/** Counts messages by type; written on the event loop, readable by any thread. */
public final class MessageCounts {
    private final Map<Class<? extends Message>, LongAdder> counts = new ConcurrentHashMap<>();

    void add(Message message) {
        counts.computeIfAbsent(message.getClass(), type -> new LongAdder()).increment();
    }

    /**
     * Returns the number of messages since the start of the process, by type.
     *
     * @return the numbers of the types that occurred, by the simple name of the type, for instance {@code WorkerReport}
     */
    public Map<String, Long> byType() {
        Map<String, Long> sums = new TreeMap<>();
        counts.forEach((type, sum) -> sums.put(type.getSimpleName(), sum.sum()));
        return sums;
    }
}
