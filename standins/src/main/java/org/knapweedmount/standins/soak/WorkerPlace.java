package org.knapweedmount.standins.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.knapweedmount.standins.support.HostPort;

/**
 * The place of workers on a VM, with the one address at which the agent calls them. A replacement can begin while the old
 * worker still works: by turns it takes over the address once the old one has ended, or at once.
 *
 * <p>Confined to one event loop.
 */
final class WorkerPlace {
    private static final int LINGER_MILLIS = 1_500;

    private final Vertx vertx;
    private final HostPort address;
    private SoakWorker worker;
    private SoakWorker idle;
    private SoakWorker receiver;
    private boolean nextTakesOverAtOnce;

    WorkerPlace(Vertx vertx, HostPort address, SoakWorker worker, SoakWorker idle) {
        this.vertx = vertx;
        this.address = address;
        this.worker = worker;
        this.idle = idle;
        this.receiver = worker;
    }

    Future<?> listen() {
        return vertx.createHttpServer()
                .connectionHandler(connection -> receiver().connected(connection))
                .requestHandler(request -> receiver().handle(request))
                .listen(address.port(), address.host());
    }

    /** Returns the worker that began last. */
    SoakWorker worker() {
        return worker;
    }

    /** Returns the worker that has the address. */
    SoakWorker receiver() {
        if (!receiver.isAlive()) {
            receiver = worker;
        }
        return receiver;
    }

    /** Begins a worker with another ID; the old one drains for some time from then on, and then ends. */
    void replace(int drainMillis) {
        if (idle.isAlive() || !worker.isAlive()) {
            return;
        }
        SoakWorker old = worker;
        worker = idle;
        idle = old;
        worker.begin(false);
        if (nextTakesOverAtOnce) {
            receiver = worker;
            old.closeConnections();
        }
        nextTakesOverAtOnce = !nextTakesOverAtOnce;
        old.leave(drainMillis, LINGER_MILLIS);
    }
}
