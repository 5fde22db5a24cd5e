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
    private final RelayGate gate;
    private final ServerSocket server;
    private final Set<RelayedConnection> connections = ConcurrentHashMap.newKeySet();

    private Relay(HostPort target, RelayConditions conditions, ServerSocket server) {
        this.target = target;
        this.gate = new RelayGate(conditions);
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
        relay.thread(relay::acceptAll).start();
        return relay;
    }

    /** Returns the port that the relay listens on. */
    int port() {
        return server.getLocalPort();
    }

    RelayConditions conditions() {
        return gate.conditions();
    }

    /** Changes how the connections are treated, at once. */
    void change(RelayConditions conditions) {
        gate.change(conditions);
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

    private void accept(Socket opener) throws IOException {
        opener.setTcpNoDelay(true);
        RelayedConnection connection = new RelayedConnection(gate, opener, target, this::thread);
        connections.add(connection);
        if (gate.conditions().mode() == RelayMode.CUT) {
            connection.reset();
            connections.remove(connection);
            return;
        }
        thread(() -> {
                    connection.run();
                    connections.remove(connection);
                })
                .start();
    }

    private Thread thread(Runnable duty) {
        Thread thread = new Thread(duty, "relay-" + port());
        thread.setDaemon(true);
        return thread;
    }
}
