package org.knapweedmount.core.evacuation;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.EvacuationNotice;

/**
 * What the linked entries have told an agent of its data centre; the notice with the highest version counts.
 *
 * <p>Not thread-safe. The notice of an entry is discarded with its link, because the entry may then learn of a change that
 * it cannot pass on; it sends its notice again on the next link.
 */
public final class ReceivedNotices {
    private final Map<Incarnation, EvacuationNotice> notices = new HashMap<>();
    private final BiConsumer<String, String> log;
    private boolean closed;

    /**
     * Creates the record of an agent that was told nothing; its data centre is open.
     *
     * @param log logs an event with its detail
     */
    public ReceivedNotices(BiConsumer<String, String> log) {
        this.log = log;
    }

    /**
     * Records the notice of a linked entry, in place of its last one.
     *
     * @param entry the entry
     * @param notice the notice
     */
    public void received(Incarnation entry, EvacuationNotice notice) {
        notices.put(entry, notice);
        update("entry=" + entry);
    }

    /**
     * Discards the notice of an entry whose link was lost.
     *
     * @param entry the entry
     */
    public void unlinked(Incarnation entry) {
        if (notices.remove(entry) != null) {
            update("lost=" + entry);
        }
    }

    private void update(String cause) {
        boolean wasClosed = closed;
        closed = notices.values().stream()
                .max(Comparator.comparingLong(EvacuationNotice::version))
                .map(EvacuationNotice::closed)
                .orElse(false);
        if (closed != wasClosed) {
            log.accept(closed ? "data-centre-closed" : "data-centre-reopened", cause + " notices=" + notices.size());
        }
    }

    /**
     * Returns whether the data centre of the agent is closed.
     *
     * @return true if nothing may be started
     */
    public boolean isClosed() {
        return closed;
    }
}
