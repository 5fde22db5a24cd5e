package org.knapweedmount.standins.load;

import java.util.ArrayDeque;
import java.util.Queue;

import io.vertx.core.Future;

/**
 * Prefetches submission IDs of one entry, so that requests normally need not wait for one.
 *
 * <p>Must be called on the event loop of the load.
 */
final class SubmissionIdPool {
    private static final int IDS_PER_REQUEST = 500;
    private static final int REFILL_THRESHOLD_IDS = 250;

    private final EntryClient entry;
    private final Queue<String> available = new ArrayDeque<>();
    private boolean refilling;

    SubmissionIdPool(EntryClient entry) {
        this.entry = entry;
    }

    /** Takes an ID; requests one from the entry only if none is available. */
    Future<String> take() {
        if (available.size() < REFILL_THRESHOLD_IDS && !refilling) {
            refilling = true;
            entry.requestIds(IDS_PER_REQUEST).onSuccess(available::addAll).onComplete(result -> refilling = false);
        }
        String id = available.poll();
        return id == null ? entry.requestIds(1).map(ids -> ids.get(0)) : Future.succeededFuture(id);
    }
}
