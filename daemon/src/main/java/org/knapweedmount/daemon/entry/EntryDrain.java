package org.knapweedmount.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.knapweedmount.daemon.runtime.RetryingQueue;
import org.tinylog.Logger;

/**
 * Makes an entry take no new work.
 *
 * <p>The balancer is told at once and given a while to notice, in which requests are still accepted; then the core
 * refuses them. Any thread may use it.
 */
final class EntryDrain {
    private final Vertx vertx;
    private final Readiness readiness;
    private final RetryingQueue<EntryModule> queue;
    private final int graceMillis;
    private final Promise<Void> drained = Promise.promise();

    /**
     * Creates a drain that has not begun.
     *
     * @param vertx starts the timer
     * @param readiness tells the balancer
     * @param queue takes the core's part
     * @param graceMillis how long requests are accepted after the balancer is told, in ms, at least 1
     */
    EntryDrain(Vertx vertx, Readiness readiness, RetryingQueue<EntryModule> queue, int graceMillis) {
        this.vertx = vertx;
        this.readiness = readiness;
        this.queue = queue;
        this.graceMillis = graceMillis;
    }

    /**
     * Begins to drain; without effect if it has begun.
     *
     * @return completes when the core refuses new requests
     */
    Future<Void> begin() {
        if (readiness.drain()) {
            Logger.info("draining");
            vertx.setTimer(
                    graceMillis,
                    fired -> queue.add((module, nowNanos) -> {
                        module.core().drain(nowNanos);
                        drained.complete();
                    }));
        }
        return drained.future();
    }
}
