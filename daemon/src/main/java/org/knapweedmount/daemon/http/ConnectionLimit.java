package org.knapweedmount.daemon.http;

import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import org.knapweedmount.core.metric.Counters;

/** Closes connections beyond a number; any thread may use it. */
public final class ConnectionLimit implements Handler<HttpConnection> {
    private final int maxConnections;
    private final Counters<HttpCounter> counters;
    private final AtomicInteger open = new AtomicInteger();

    /**
     * Creates a limit without connections.
     *
     * @param maxConnections the number of open connections
     * @param counters counts the connections that were closed
     */
    public ConnectionLimit(int maxConnections, Counters<HttpCounter> counters) {
        this.maxConnections = maxConnections;
        this.counters = counters;
    }

    @Override
    public void handle(HttpConnection connection) {
        ConnectionFailures.INSTANCE.handle(connection);
        connection.closeHandler(ignored -> open.decrementAndGet());
        if (open.incrementAndGet() > maxConnections) {
            counters.increment(HttpCounter.CONNECTIONS_REFUSED);
            connection.close();
        }
    }
}
