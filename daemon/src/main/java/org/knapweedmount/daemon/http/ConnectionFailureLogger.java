package org.knapweedmount.daemon.http;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import org.tinylog.Logger;

/**
 * Logs connection failures such as a reset by the peer at debug level; Vert.x would log them as errors.
 *
 * <p>The effect of a failure on a request is reported through the future of its response.
 */
public enum ConnectionFailureLogger implements Handler<HttpConnection> {
    /** The stateless instance. */
    INSTANCE;

    @Override
    public void handle(HttpConnection connection) {
        connection.exceptionHandler(failure -> Logger.debug(failure, "HTTP connection failed"));
    }
}
