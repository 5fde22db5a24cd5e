package org.knapweedmount.standins.bench;

import java.util.Map;
import java.util.TreeMap;

import org.knapweedmount.api.message.Message;

/** What the processes of a role have used: processor time of their decisions and of the wire format, and messages. */
final class RoleCost {
    private final Map<String, Long> sentByType = new TreeMap<>();
    private long nanos;
    private long messages;
    private long bytes;

    /** Runs an event of a process of the role, and counts its processor time. */
    void run(Runnable event) {
        long startNanos = System.nanoTime();
        event.run();
        nanos += System.nanoTime() - startNanos;
    }

    /** Counts a message that a process of the role sends. */
    void sent(Message message, int frameBytes) {
        messages++;
        bytes += frameBytes;
        sentByType.merge(message.getClass().getSimpleName(), 1L, Long::sum);
    }

    long nanos() {
        return nanos;
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }

    long sent(Class<? extends Message> type) {
        return sentByType.getOrDefault(type.getSimpleName(), 0L);
    }

    void reset() {
        nanos = 0;
        messages = 0;
        bytes = 0;
        sentByType.clear();
    }
}
