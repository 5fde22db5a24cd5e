package org.knapweedmount.standins.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.knapweedmount.standins.support.HostPort;
import org.tinylog.Logger;

/** Listens on a port and relays each accepted connection to a target address. */
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
     * @param route the port to listen on and the address to connect to
     * @param conditions the initial network conditions
     * @return the started relay
     * @throws IOException if the relay cannot listen on the port
     */
    static Relay start(RelayRoute route, RelayConditions conditions) throws IOException {
        ServerSocket server = new ServerSocket(route.port(), BACKLOG, InetAddress.getLoopbackAddress());
        Relay relay = new Relay(route.target(), conditions, server);
        relay.newThread(relay::acceptAll).start();
        return relay;
    }

    /** Returns the port on which the relay listens. */
    int port() {
        return server.getLocalPort();
    }

    RelayConditions conditions() {
        return state.conditions();
    }

    /** Changes the network conditions of open and new connections with immediate effect. */
    void updateConditions(RelayConditions conditions) {
        state.update(conditions);
        Logger.info("port {}: conditions changed to {}", port(), conditions);
        connections.forEach(RelayedConnection::resetIfCut);
    }

    /** Stops listening and resets all connections. */
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
                Logger.error("port {}: stopped accepting connections: {}", port(), e.getMessage());
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
