package org.knapweedmount.daemon.entry;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.knapweedmount.daemon.runtime.ProcessEvent;
import org.knapweedmount.daemon.runtime.ProcessLifecycle;
import org.knapweedmount.daemon.runtime.RetryingQueue;

/**
 * Drains an entry, so that it accepts no new work.
 *
 * <p>The entry reports at once that it is not ready, but accepts requests during a grace period until the balancer has
 * noticed; then the core refuses them. Thread-safe.
 */
final class EntryDrain {
    private final Vertx vertx;
    private final ProcessLifecycle lifecycle;
    private final RetryingQueue<EntryModule> retryingQueue;
    private final int balancerGraceMillis;
    private final Promise<Void> drained = Promise.promise();

    /**
     * Creates a drain that is not started.
     *
     * @param vertx starts the timer
     * @param lifecycle the lifecycle state of the entry, from which its readiness is derived
     * @param retryingQueue passes the drain to the decision thread
     * @param balancerGraceMillis how long requests are accepted after the entry reports not ready, in ms, at least 1
     */
    EntryDrain(
            Vertx vertx,
            ProcessLifecycle lifecycle,
            RetryingQueue<EntryModule> retryingQueue,
            int balancerGraceMillis) {
        this.vertx = vertx;
        this.lifecycle = lifecycle;
        this.retryingQueue = retryingQueue;
        this.balancerGraceMillis = balancerGraceMillis;
    }

    /**
     * Starts to drain; has no effect if already started.
     *
     * @return completes when the core refuses new requests
     */
    Future<Void> begin() {
        if (lifecycle.handle(ProcessEvent.STOP_REQUESTED)) {
            vertx.setTimer(
                    balancerGraceMillis,
                    fired -> retryingQueue.add((module, nowNanos) -> {
                        module.core().drain(nowNanos);
                        lifecycle.handle(ProcessEvent.INTAKE_CLOSED);
                        drained.complete();
                    }));
        }
        return drained.future();
    }
}
