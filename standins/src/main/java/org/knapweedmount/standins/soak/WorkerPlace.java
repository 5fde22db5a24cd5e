package org.knapweedmount.standins.soak;

import io.vertx.core.Future;

/**
 * The place of a worker on a VM: two addresses, so that a replacement can begin while the old worker still works.
 *
 * <p>Confined to one event loop.
 */
final class WorkerPlace {
    private static final int LINGER_MILLIS = 1_500;

    private SoakWorker worker;
    private SoakWorker idle;

    WorkerPlace(SoakWorker worker, SoakWorker idle) {
        this.worker = worker;
        this.idle = idle;
    }

    Future<?> listen() {
        return Future.all(worker.listen(), idle.listen());
    }

    /** Returns the worker that began last. */
    SoakWorker worker() {
        return worker;
    }

    /** Begins a worker with another ID and address; the old one drains for some time from then on, and then ends. */
    void replace(int drainMillis) {
        if (idle.isAlive() || !worker.isAlive()) {
            return;
        }
        SoakWorker old = worker;
        worker = idle;
        idle = old;
        worker.begin(false);
        old.leave(drainMillis, LINGER_MILLIS);
    }
}
