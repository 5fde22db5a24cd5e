package org.knapweedmount.daemon.entry;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;

/** Creates event loops for duties that are not to share one. */
final class DedicatedContexts {
    private DedicatedContexts() {}

    /** Keeps its context for its creator. */
    private static final class ContextVerticle extends VerticleBase {
        Context ownContext() {
            return context;
        }
    }

    /**
     * Creates the context of a duty on the next event loop.
     *
     * @param vertx provides the event loops
     * @return the context
     */
    static Future<Context> create(Vertx vertx) {
        ContextVerticle verticle = new ContextVerticle();
        return vertx.deployVerticle(verticle).map(ignored -> verticle.ownContext());
    }
}
