package org.knapweedmount.daemon.http;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import org.tinylog.Logger;

/**
 * Takes the failures of connections, for instance a reset by the peer, which the library would log as errors.
 *
 * <p>What a failure means for a request is told to whoever waits for its answer.
 */
public enum ConnectionFailureLogger implements Handler<HttpConnection> {
    /** The only one, since there is no state. */
    INSTANCE;

    @Override
    public void handle(HttpConnection connection) {
        connection.exceptionHandler(failure -> Logger.debug(failure, "a connection failed"));
    }
}
