package org.knapweedmount.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.knapweedmount.daemon.runtime.ProcessEvent;
import org.knapweedmount.daemon.runtime.ProcessLife;
import org.knapweedmount.daemon.runtime.RetryingQueue;

/**
 * Makes an entry take no new work.
 *
 * <p>The balancer is told at once and given a while to notice, in which requests are still accepted; then the core
 * refuses them. Any thread may use it.
 */
final class EntryDrain {
    private final Vertx vertx;
    private final ProcessLife life;
    private final RetryingQueue<EntryModule> queue;
    private final int balancerGraceMillis;
    private final Promise<Void> drained = Promise.promise();

    /**
     * Creates a drain that has not begun.
     *
     * @param vertx starts the timer
     * @param life where the entry stands, which the balancer is told
     * @param queue takes the core's part
     * @param balancerGraceMillis how long requests are accepted after the balancer is told, in ms, at least 1
     */
    EntryDrain(Vertx vertx, ProcessLife life, RetryingQueue<EntryModule> queue, int balancerGraceMillis) {
        this.vertx = vertx;
        this.life = life;
        this.queue = queue;
        this.balancerGraceMillis = balancerGraceMillis;
    }

    /**
     * Begins to drain; without effect if it has begun.
     *
     * @return completes when the core refuses new requests
     */
    Future<Void> begin() {
        if (life.step(ProcessEvent.STOP_REQUESTED)) {
            vertx.setTimer(
                    balancerGraceMillis,
                    fired -> queue.add((module, nowNanos) -> {
                        module.core().drain(nowNanos);
                        life.step(ProcessEvent.INTAKE_CLOSED);
                        drained.complete();
                    }));
        }
        return drained.future();
    }
}
