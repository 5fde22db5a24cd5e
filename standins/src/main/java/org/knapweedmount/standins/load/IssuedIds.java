package org.knapweedmount.standins.load;

import java.util.ArrayDeque;
import java.util.Queue;

import io.vertx.core.Future;

/**
 * Keeps ids of one entry ready, so that no request waits for one.
 *
 * <p>Used on the event loop of the load.
 */
final class IssuedIds {
    private static final int BATCH = 500;
    private static final int REFILL_BELOW = 250;

    private final EntryClient entry;
    private final Queue<String> ready = new ArrayDeque<>();
    private boolean refilling;

    IssuedIds(EntryClient entry) {
        this.entry = entry;
    }

    /** Takes an id; waits for the entry only if none is ready. */
    Future<String> take() {
        if (ready.size() < REFILL_BELOW && !refilling) {
            refilling = true;
            entry.issueIds(BATCH).onSuccess(ready::addAll).onComplete(result -> refilling = false);
        }
        String id = ready.poll();
        return id == null ? entry.issueIds(1).map(ids -> ids.get(0)) : Future.succeededFuture(id);
    }
}
