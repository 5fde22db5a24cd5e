package org.knapweedmount.core.agent;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.knapweedmount.api.Incarnation;

/**
 * Rejects duplicate starts by their sequence numbers, keeping one number per entry.
 *
 * <p>When the number of entries exceeds the limit, the oldest unlinked entry is evicted. No start of such an entry can
 * still arrive, because starts arrive in order over its link or not at all.
 */
final class StartGate {
    private static final int MAX_ENTRIES = 4_096;

    private final Predicate<Incarnation> linked;
    private final Map<Incarnation, Long> highest = new LinkedHashMap<>();

    StartGate(Predicate<Incarnation> linked) {
        this.linked = linked;
    }

    /**
     * Accepts a start if its sequence number is higher than all earlier ones of the entry.
     *
     * @return false if a start with this or a higher number was received before
     */
    boolean admits(Incarnation entry, long sequence) {
        if (sequence <= mark(entry)) {
            return false;
        }
        store(entry, sequence);
        return true;
    }

    /** Rejects all future starts of an entry up to a sequence number. */
    void raise(Incarnation entry, long sequence) {
        store(entry, Math.max(sequence, mark(entry)));
    }

    private long mark(Incarnation entry) {
        return highest.getOrDefault(entry, 0L);
    }

    private void store(Incarnation entry, long sequence) {
        if (highest.put(entry, sequence) == null && highest.size() > MAX_ENTRIES) {
            dropEldest();
        }
    }

    private void dropEldest() {
        Iterator<Incarnation> entries = highest.keySet().iterator();
        while (entries.hasNext()) {
            if (!linked.test(entries.next())) {
                entries.remove();
                return;
            }
        }
    }
}
