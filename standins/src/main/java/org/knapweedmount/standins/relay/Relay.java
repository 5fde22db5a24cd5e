package org.knapweedmount.standins.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.knapweedmount.standins.support.HostPort;
import org.tinylog.Logger;

/** Listens on a port and relays its connections to a target. */
final class Relay {
    private static final int BACKLOG = 128;

    private final HostPort target;
    private final RelayState state;
    private final ServerSocket server;
    private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();

    private Relay(HostPort target, RelayConditions conditions, ServerSocket server) {
        this.target = target;
        this.state = new RelayState(conditions);
        this.server = server;
    }

    /**
     * Starts a relay.
     *
     * @param route where it listens and connects to
     * @param conditions how it treats its connections at first
     * @return the relay
     * @throws IOException if it cannot listen
     */
    static Relay start(RelayRoute route, RelayConditions conditions) throws IOException {
        ServerSocket server = new ServerSocket(route.port(), BACKLOG, InetAddress.getLoopbackAddress());
        Relay relay = new Relay(route.target(), conditions, server);
        relay.newThread(relay::acceptAll).start();
        return relay;
    }

    /** Returns the port that the relay listens on. */
    int port() {
        return server.getLocalPort();
    }

    RelayConditions conditions() {
        return state.conditions();
    }

    /** Changes how the connections are treated, at once. */
    void updateConditions(RelayConditions conditions) {
        state.update(conditions);
        Logger.info("port {}: {}", port(), conditions);
        connections.forEach(RelayedConnection::resetIfCut);
    }

    /** Stops listening and resets the connections. */
    void close() {
        Sockets.closeQuietly(server);
        connections.forEach(RelayedConnection::reset);
    }

    private void acceptAll() {
        try {
            while (!server.isClosed()) {
                accept(server.accept());
            }
        } catch (IOException e) {
            if (!server.isClosed()) {
                Logger.error("port {} accepts no more connections: {}", port(), e.getMessage());
            }
        }
    }

    private void accept(Socket client) throws IOException {
        client.setTcpNoDelay(true);
        RelayedConnection connection = new RelayedConnection(state, client, target, this::newThread);
        connections.add(connection);
        if (state.conditions().mode() == RelayMode.CUT) {
            connection.reset();
            connections.remove(connection);
            return;
        }
        newThread(() -> {
                    connection.run();
                    connections.remove(connection);
                })
                .start();
    }

    private Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "relay-" + port());
        thread.setDaemon(true);
        return thread;
    }
}
