package org.knapweedmount.daemon.http;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import org.knapweedmount.core.metric.Counters;

/** Closes connections beyond a total limit or a limit per IP address. Thread-safe. */
public final class ConnectionLimit implements Handler<HttpConnection> {
    private final int maxConnections;
    private final int maxPerCaller;
    private final Counters<HttpCounter> counters;
    private final Map<String, Integer> openByCaller = new HashMap<>();
    private int openConnections;

    ConnectionLimit(int maxConnections, int maxPerCaller, Counters<HttpCounter> counters) {
        this.maxConnections = maxConnections;
        this.maxPerCaller = maxPerCaller;
        this.counters = counters;
    }

    /**
     * Creates a limit with no open connections.
     *
     * @param limits the limits of the server
     * @param counters counts the refused connections
     * @return the limit
     */
    public static ConnectionLimit of(HttpLimits limits, Counters<HttpCounter> counters) {
        return new ConnectionLimit(limits.maxConnections(), limits.maxConnectionsPerCaller(), counters);
    }

    @Override
    public void handle(HttpConnection connection) {
        ConnectionFailureLogger.INSTANCE.handle(connection);
        String caller = connection.remoteAddress().hostAddress();
        boolean admitted = connectionOpened(caller);
        connection.closeHandler(ignored -> connectionClosed(caller));
        if (!admitted) {
            counters.increment(HttpCounter.CONNECTIONS_REFUSED);
            connection.close();
        }
    }

    private synchronized boolean connectionOpened(String caller) {
        openConnections++;
        int fromCaller = openByCaller.merge(caller, 1, Integer::sum);
        return openConnections <= maxConnections && fromCaller <= maxPerCaller;
    }

    private synchronized void connectionClosed(String caller) {
        openConnections--;
        openByCaller.computeIfPresent(caller, (name, count) -> count == 1 ? null : count - 1);
    }
}
