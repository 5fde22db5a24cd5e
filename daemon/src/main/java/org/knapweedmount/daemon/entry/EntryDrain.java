package org.knapweedmount.daemon.entry;

import org.tinylog.Logger;

/** Makes an entry take no new work: the balancer sees it first, then the core refuses. Any thread may use it. */
final class EntryDrain {
    private final Readiness readiness;
    private final RetryingQueue<EntryModule> queue;

    EntryDrain(Readiness readiness, RetryingQueue<EntryModule> queue) {
        this.readiness = readiness;
        this.queue = queue;
    }

    /** Begins to drain; without effect if it has begun. */
    void begin() {
        if (readiness.drain()) {
            Logger.info("draining");
            queue.add((module, nowNanos) -> module.core().drain(nowNanos));
        }
    }
}
