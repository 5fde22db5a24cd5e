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
final class StartSequenceFilter {
    private static final int MAX_ENTRIES = 4_096;

    private final Predicate<Incarnation> linked;
    private final Map<Incarnation, Long> highestByEntry = new LinkedHashMap<>();

    StartSequenceFilter(Predicate<Incarnation> linked) {
        this.linked = linked;
    }

    /**
     * Accepts a start if its sequence number is higher than all earlier ones of the entry.
     *
     * @return false if a start with this or a higher number was received before
     */
    boolean accept(Incarnation entry, long sequence) {
        if (sequence <= highestReceived(entry)) {
            return false;
        }
        updateHighest(entry, sequence);
        return true;
    }

    /** Rejects all future starts of an entry up to a sequence number. */
    void rejectUpTo(Incarnation entry, long sequence) {
        updateHighest(entry, Math.max(sequence, highestReceived(entry)));
    }

    private long highestReceived(Incarnation entry) {
        return highestByEntry.getOrDefault(entry, 0L);
    }

    private void updateHighest(Incarnation entry, long sequence) {
        if (highestByEntry.put(entry, sequence) == null && highestByEntry.size() > MAX_ENTRIES) {
            evictOldestUnlinked();
        }
    }

    private void evictOldestUnlinked() {
        Iterator<Incarnation> entries = highestByEntry.keySet().iterator();
        while (entries.hasNext()) {
            if (!linked.test(entries.next())) {
                entries.remove();
                return;
            }
        }
    }
}
