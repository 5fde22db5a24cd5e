package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.knapweedmount.standins.support.HostPort;
import org.tinylog.Logger;

/**
 * Relays between the callers and the entries, which can hold back all bytes of an entry's callers and the ends of their
 * connections, and pass them on late.
 *
 * <p>Confined to one event loop.
 */
final class CallerRelays {
    private final Vertx vertx;
    private final NetClient client;
    private final Set<HostPort> held = new HashSet<>();
    private final List<Connection> connections = new ArrayList<>();

    private record Connection(HostPort entry, NetSocket caller, NetSocket target) {
        private void reset() {
            caller.close();
            target.close();
        }

        private void hold() {
            caller.pause();
            target.pause();
        }

        private void release() {
            caller.resume();
            target.resume();
        }
    }

    CallerRelays(Vertx vertx) {
        this.vertx = vertx;
        this.client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    }

    /** Listens on an address and connects its callers to an entry. */
    Future<NetServer> listen(HostPort address, HostPort entry) {
        return vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true))
                .connectHandler(caller -> accept(caller, entry))
                .listen(address.port(), address.host());
    }

    private void accept(NetSocket caller, HostPort entry) {
        caller.pause();
        caller.exceptionHandler(failure -> Logger.debug(failure, "connection of a caller failed"));
        client.connect(entry.port(), entry.host())
                .onSuccess(target -> join(new Connection(entry, caller, target)))
                .onFailure(failure -> caller.close());
    }

    private void join(Connection connection) {
        connections.add(connection);
        pass(connection, connection.caller(), connection.target());
        pass(connection, connection.target(), connection.caller());
        connection.target().exceptionHandler(failure -> Logger.debug(failure, "connection to an entry failed"));
        if (held.contains(connection.entry())) {
            connection.hold();
        } else {
            connection.release();
        }
    }

    private void pass(Connection connection, NetSocket from, NetSocket to) {
        from.handler(bytes -> to.write(bytes).onFailure(failure -> Logger.debug(failure, "connection closed")));
        from.closeHandler(closed -> {
            connections.remove(connection);
            to.close();
        });
    }

    private List<Connection> to(HostPort entry) {
        return connections.stream()
                .filter(connection -> connection.entry().equals(entry))
                .toList();
    }

    /** Resets all connections to an entry at once for the callers, and after some time for the entry. */
    void reset(HostPort entry, int millis) {
        for (Connection connection : to(entry)) {
            connections.remove(connection);
            connection.hold();
            connection.caller().closeHandler(closed -> Logger.debug("connection of a caller reset"));
            connection.caller().close();
            vertx.setTimer(Math.max(1, millis), timer -> connection.target().close());
        }
    }

    /** Resets every second connection to an entry. */
    void resetHalf(HostPort entry) {
        List<Connection> toEntry = to(entry);
        for (int i = 0; i < toEntry.size(); i += 2) {
            toEntry.get(i).reset();
        }
    }

    /** Holds back what the callers of an entry and the entry send. */
    void hold(HostPort entry) {
        held.add(entry);
        to(entry).forEach(Connection::hold);
    }

    /** Passes on what was held back. */
    void release(HostPort entry) {
        held.remove(entry);
        to(entry).forEach(Connection::release);
    }
}
