package org.knapweedmount.daemon.entry;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;

/** Creates contexts on separate event loops, for work that should not share one. */
final class DedicatedContexts {
    private DedicatedContexts() {}

    /** A verticle that only exposes its context. */
    private static final class ContextVerticle extends VerticleBase {
        Context ownContext() {
            return context;
        }
    }

    /**
     * Creates a context on the next event loop.
     *
     * @param vertx provides the event loops
     * @return completes with the context
     */
    static Future<Context> create(Vertx vertx) {
        ContextVerticle verticle = new ContextVerticle();
        return vertx.deployVerticle(verticle).map(ignored -> verticle.ownContext());
    }
}
