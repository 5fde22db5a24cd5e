package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.tinylog.Logger;

/**
 * Relays through which all links between the programs pass, with conditions for each pair of processes.
 *
 * <p>Confined to one event loop.
 */
final class LinkRelays {
    private static final int RESET_ON_CLOSE = 0;
    private static final int CLOSE_DELAY_MILLIS = 5;

    private final Vertx vertx;
    private final SoakAddresses addresses;
    private final NetClient client;
    private final Map<String, LinkConditions> conditions = new HashMap<>();
    private final Set<Connection> connections = new LinkedHashSet<>();

    /** A relayed connection; its opener is known once its hello has been read. */
    private static final class Connection {
        private final int entry;
        private final List<NetSocket> sockets = new ArrayList<>();
        private final List<RelayedLink> directions = new ArrayList<>();
        private Optional<String> opener = Optional.empty();

        private Connection(int entry) {
            this.entry = entry;
        }

        private boolean concerns(String process) {
            return process.equals("entry-" + entry)
                    || opener.filter(process::equals).isPresent();
        }
    }

    LinkRelays(Vertx vertx, SoakAddresses addresses) {
        this.vertx = vertx;
        this.addresses = addresses;
        this.client =
                vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setSoLinger(RESET_ON_CLOSE));
    }

    /** Listens on the relay address of an entry. */
    Future<?> listen(int entry) {
        return vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setSoLinger(RESET_ON_CLOSE))
                .connectHandler(socket -> accept(socket, entry))
                .listen(addresses.linkPort(), addresses.relayHost(entry));
    }

    private void accept(NetSocket opener, int entry) {
        Connection connection = new Connection(entry);
        connections.add(connection);
        connection.sockets.add(opener);
        opener.closeHandler(closed -> resetLater(connection));
        opener.exceptionHandler(failure -> Logger.debug(failure, "link failed"));
        opener.pause();
        client.connect(addresses.linkPort(), addresses.entryHost(entry)).onComplete(result -> {
            if (result.failed() || !connections.contains(connection)) {
                result.map(socket -> socket.close());
                reset(connection);
                return;
            }
            join(connection, opener, result.result());
        });
    }

    private void join(Connection connection, NetSocket opener, NetSocket entrySocket) {
        connection.sockets.add(entrySocket);
        entrySocket.closeHandler(closed -> resetLater(connection));
        entrySocket.exceptionHandler(failure -> Logger.debug(failure, "link failed"));
        RelayedLink toEntry = new RelayedLink(
                vertx, entrySocket, true, this::relayed, incarnation -> identify(connection, incarnation));
        RelayedLink fromEntry = new RelayedLink(vertx, opener, false, this::relayed, incarnation -> {});
        connection.directions.add(toEntry);
        connection.directions.add(fromEntry);
        opener.handler(toEntry::receive);
        entrySocket.handler(fromEntry::receive);
        opener.resume();
    }

    private PeerAddress relayed(PeerAddress address) {
        return new PeerAddress(
                address.incarnation(),
                address.role(),
                address.region(),
                address.dataCentre(),
                addresses.relayed(address.host()),
                address.port());
    }

    private void identify(Connection connection, Incarnation opener) {
        connection.opener = Optional.of(opener.process());
        LinkConditions known = of(opener.process(), connection.entry);
        if (known.refused()) {
            reset(connection);
            return;
        }
        connection.directions.forEach(direction -> direction.apply(known));
    }

    /** Closes the other side after what was sent before the close has been passed on. */
    private void resetLater(Connection connection) {
        vertx.setTimer(CLOSE_DELAY_MILLIS, timer -> reset(connection));
    }

    private void reset(Connection connection) {
        if (connections.remove(connection)) {
            connection.directions.forEach(RelayedLink::end);
            connection.sockets.forEach(NetSocket::close);
        }
    }

    /** Returns the conditions of the links between a process and an entry. */
    LinkConditions of(String process, int entry) {
        return conditions.computeIfAbsent(process + " entry-" + entry, pair -> new LinkConditions());
    }

    /** Returns the conditions of all links of a process. */
    List<LinkConditions> of(String process) {
        return conditions.entrySet().stream()
                .filter(pair -> List.of(pair.getKey().split(" ", -1)).contains(process))
                .map(Map.Entry::getValue)
                .toList();
    }

    /** Resets all links of a process. */
    void reset(String process) {
        List.copyOf(connections).stream()
                .filter(connection -> connection.concerns(process))
                .forEach(this::reset);
    }

    /** Resets the links between two processes. */
    void reset(String process, String other) {
        List.copyOf(connections).stream()
                .filter(connection -> connection.concerns(process) && connection.concerns(other))
                .forEach(this::reset);
    }

    /** Resets every second link of a process. */
    void resetHalf(String process) {
        List<Connection> concerned = connections.stream()
                .filter(connection -> connection.concerns(process))
                .toList();
        for (int i = 0; i < concerned.size(); i += 2) {
            reset(concerned.get(i));
        }
    }

    /** Passes on what is no longer held back. */
    void drain() {
        List.copyOf(connections).forEach(connection -> connection.directions.forEach(RelayedLink::drain));
    }
}
