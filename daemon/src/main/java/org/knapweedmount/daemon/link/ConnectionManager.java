package org.knapweedmount.daemon.link;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Hello;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.RelayAnswer;
import org.knapweedmount.api.message.RelayRequest;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.settings.HostPort;
import org.knapweedmount.wire.FrameException;
import org.knapweedmount.wire.MessageDecoder;
import org.knapweedmount.wire.MessageEncoder;
import org.tinylog.Logger;

/**
 * Opens and accepts the connections of a process, checks their hello messages and closes connections that fail or are
 * no longer needed.
 *
 * <p>Confined to one event loop.
 */
final class ConnectionManager implements Outbox.Receiver {
    private static final long STABLE_LINK_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long UNLINKED_RETRY_MILLIS = 10;
    private static final int TICKS_PER_HEARTBEAT = 4;

    /** A longer gap between ticks, in ticks, means that this process paused and not that its peers were silent. */
    private static final int PROCESS_PAUSE_TICKS = 4;

    /** A link is closed at once if its send queue exceeds this multiple of its limit. */
    private static final int MAX_QUEUE_BURST_FACTOR = 4;

    private final Vertx vertx;
    private final LinkOptions options;
    private final NanoClock clock;
    private final LongSupplier configNumber;
    private final Counters<LinkCounter> counters;
    private final MessageCounts sentMessages = new MessageCounts();
    private final MessageCounts receivedMessages = new MessageCounts();
    private final Listener listener;
    private final Dialler dialler;
    private final LinkInspector inspector;
    private final MessageEncoder encoder = new MessageEncoder();
    private final MessageDecoder decoder = new MessageDecoder();
    private final Set<Link> openLinks = new LinkedHashSet<>();
    private final Map<Incarnation, Link> linksByPeer = new HashMap<>();
    private final List<Link> unflushedLinks = new ArrayList<>();
    private final long heartbeatNanos;
    private final long tickNanos;
    private PeerAddress self;
    private Optional<NetServer> server = Optional.empty();
    private long lastTickNanos;
    private boolean closed;

    /** Receives link events; each method returns false if the queue of the decision thread is full. */
    interface Listener {
        boolean linked(Link link, PeerAddress peer);

        boolean unlinked(PeerAddress peer);

        boolean received(PeerAddress from, Message message);
    }

    ConnectionManager(
            Vertx vertx,
            LinkOptions options,
            PeerAddress self,
            LongSupplier configNumber,
            NanoClock clock,
            Counters<LinkCounter> counters,
            Listener listener) {
        this.vertx = vertx;
        this.options = options;
        this.self = self;
        this.configNumber = configNumber;
        this.clock = clock;
        this.counters = counters;
        this.listener = listener;
        this.dialler = new Dialler(
                vertx,
                clock,
                counters,
                options.seed(),
                this::isLinked,
                (socket, target) -> connectionOpened(socket, Optional.of(target)));
        this.inspector = new LinkInspector(self, options);
        this.heartbeatNanos = TimeUnit.MILLISECONDS.toNanos(options.heartbeatMillis());
        this.tickNanos = heartbeatNanos / TICKS_PER_HEARTBEAT;
    }

    /** Starts to send heartbeats and to check the links for timeouts. */
    void start() {
        lastTickNanos = clock.nanos();
        long tickMillis = Math.max(1, options.heartbeatMillis() / TICKS_PER_HEARTBEAT);
        vertx.setPeriodic(tickMillis, timer -> tick());
    }

    /** Starts to accept connections; returns the address of this process with its advertised port. */
    Future<PeerAddress> listen(String host, int port, OptionalInt advertisedPort) {
        NetServer listening = vertx.createNetServer(
                new NetServerOptions().setHost(host).setPort(port).setTcpNoDelay(true));
        server = Optional.of(listening);
        listening.connectHandler(socket -> connectionOpened(socket, Optional.empty()));
        return listening.listen().map(bound -> {
            int advertised = advertisedPort.orElse(bound.actualPort());
            self = new PeerAddress(self.incarnation(), self.role(), self.region(), self.dataCentre(), host, advertised);
            return self;
        });
    }

    /** Keeps a link to an address from the settings. */
    void dial(HostPort address) {
        dialler.addTarget(address, true);
    }

    /** Keeps a link to an entry of this region if this process is the one to open it. */
    void addKnownEntry(PeerAddress peer) {
        if (isDialableEntry(peer) && self.sharesRegionWith(peer) && HelloCheckResult.isDialler(self, peer)) {
            dialler.addTarget(new HostPort(peer.host(), peer.port()), false);
        }
    }

    /**
     * Opens a link to an entry of another region on demand, without keeping it.
     *
     * <p>This process connects even if the other entry is the one to open the link: the hello tells the other entry
     * that a link is needed.
     */
    void connectOnDemand(PeerAddress peer) {
        if (isDialableEntry(peer)) {
            dialler.addOnDemandTarget(new HostPort(peer.host(), peer.port()));
        }
    }

    private boolean isDialableEntry(PeerAddress peer) {
        boolean other = !peer.incarnation().equals(self.incarnation());
        return other && peer.role() == Role.ENTRY && HostPort.isIpAddress(peer.host()) && peer.port() > 0;
    }

    private boolean isLinked(HostPort address) {
        return listensAt(self, address)
                || linksByPeer.values().stream()
                        .flatMap(link -> link.peer().stream())
                        .anyMatch(peer -> listensAt(peer, address));
    }

    private static boolean listensAt(PeerAddress peer, HostPort address) {
        return peer.port() == address.port() && peer.host().equals(address.host());
    }

    private void connectionOpened(NetSocket socket, Optional<HostPort> target) {
        Link link = new Link(socket, target, options.maxFrameBytes(), clock.nanos());
        openLinks.add(link);
        socket.closeHandler(ignored -> close(link, LinkCounter.CLOSED_BY_PEER));
        socket.exceptionHandler(failure -> Logger.debug(failure, "connection failed"));
        if (openLinks.size() > options.maxLinks()) {
            close(link, LinkCounter.CLOSED_EXCESS);
            return;
        }
        socket.handler(chunk -> handleChunk(link, chunk.getBytes()));
        write(link, new Hello(Hello.PROTOCOL_VERSION, self));
        flush();
    }

    private void handleChunk(Link link, byte[] chunk) {
        counters.add(LinkCounter.RECEIVED_BYTES, chunk.length);
        try {
            link.receive(chunk, (bytes, offset, length) -> handleFrame(link, bytes, offset, length), clock.nanos());
        } catch (FrameException e) {
            Logger.warn("invalid frame from {}: {}", link.socket().remoteAddress(), e.getMessage());
            close(link, LinkCounter.CLOSED_BAD_FRAME);
        }
    }

    private void handleFrame(Link link, byte[] bytes, int offset, int length) throws FrameException {
        if (!link.isOpen()) {
            return;
        }
        Message message = decoder.decode(bytes, offset, length, link.receiving());
        counters.increment(LinkCounter.RECEIVED_MESSAGES);
        receivedMessages.add(message);
        if (link.peer().isEmpty()) {
            handleHello(link, message);
            return;
        }
        if (message instanceof Hello) {
            close(link, LinkCounter.CLOSED_HELLO);
            return;
        }
        markUsed(link, message);
        if (!listener.received(link.peer().get(), message)) {
            close(link, LinkCounter.CLOSED_RING_FULL);
        }
    }

    private void handleHello(Link link, Message message) {
        if (!(message instanceof Hello hello)) {
            close(link, LinkCounter.CLOSED_HELLO);
            return;
        }
        PeerAddress peer = hello.sender();
        HelloCheckResult result =
                HelloCheckResult.check(self, hello, link.target().isPresent());
        if (result != HelloCheckResult.ACCEPT) {
            rejectHello(link, peer, result);
            return;
        }
        if (linksByPeer.containsKey(peer.incarnation())) {
            close(link, LinkCounter.CLOSED_HELLO);
            return;
        }
        counters.increment(LinkCounter.LINKED);
        if (!listener.linked(link, peer)) {
            counters.increment(LinkCounter.UNLINKED);
            close(link, LinkCounter.CLOSED_RING_FULL);
            return;
        }
        link.identify(self, peer);
        linksByPeer.put(peer.incarnation(), link);
        Logger.info("linked to {}", peer.incarnation());
    }

    private void rejectHello(Link link, PeerAddress peer, HelloCheckResult result) {
        Logger.debug("rejected the hello of {}: {}", peer.incarnation(), result);
        if (result == HelloCheckResult.SELF) {
            link.target().ifPresent(dialler::removeTarget);
        }
        if (result == HelloCheckResult.WRONG_DIRECTION) {
            link.target().ifPresent(dialler::useLongPause);
            connectBack(link, peer);
        }
        if (result == HelloCheckResult.OTHER_REGION) {
            link.target().ifPresent(dialler::useLongPause);
        }
        close(link, LinkCounter.CLOSED_HELLO);
    }

    /** Opens the link that the peer asked for by connecting, if this process is the one to open it. */
    private void connectBack(Link link, PeerAddress peer) {
        if (self.sharesRegionWith(peer)) {
            addKnownEntry(peer);
        } else if (link.target().isEmpty()) {
            connectOnDemand(peer);
        }
    }

    @Override
    public void write(Link link, Message message) {
        if (!link.isOpen()) {
            counters.increment(LinkCounter.UNLINKED_SENDS);
            return;
        }
        boolean overflowing = link.queuedBytes() > (long) MAX_QUEUE_BURST_FACTOR * options.maxQueuedBytes();
        if (link.hasLostMessage() || overflowing) {
            close(link, LinkCounter.CLOSED_OVERFLOW);
            return;
        }
        try {
            byte[] frame = encoder.encode(message, link.sending());
            counters.increment(LinkCounter.SENT_MESSAGES);
            sentMessages.add(message);
            markUsed(link, message);
            counters.add(LinkCounter.SENT_BYTES, frame.length);
            if (link.append(frame, clock.nanos())) {
                unflushedLinks.add(link);
            }
        } catch (FrameException e) {
            Logger.error("message could not be encoded and was dropped: {}", e.getMessage());
            counters.increment(LinkCounter.OVERSIZED_SENDS);
        }
    }

    private void markUsed(Link link, Message message) {
        if (message instanceof RelayRequest || message instanceof RelayAnswer) {
            link.markUsed(clock.nanos());
        }
    }

    @Override
    public void flush() {
        unflushedLinks.forEach(Link::flush);
        unflushedLinks.clear();
    }

    private void tick() {
        long nowNanos = clock.nanos();
        boolean paused = nowNanos - lastTickNanos > PROCESS_PAUSE_TICKS * tickNanos;
        lastTickNanos = nowNanos;
        for (Link link : List.copyOf(openLinks)) {
            if (paused) {
                link.resetReceiveTimeout(nowNanos);
            }
            inspect(link, nowNanos);
        }
        flush();
    }

    private void inspect(Link link, long nowNanos) {
        Optional<LinkCounter> reason = inspector.closeReason(link, nowNanos);
        if (reason.isPresent()) {
            close(link, reason.get());
            delayIdleRedial(link, reason.get());
            return;
        }
        if (link.peer().isPresent() && nowNanos - link.lastSentNanos() >= heartbeatNanos) {
            write(link, new Heartbeat(configNumber.getAsLong()));
        }
    }

    /** Delays the next attempt to open a link that was closed as idle. */
    private void delayIdleRedial(Link link, LinkCounter reason) {
        if (reason == LinkCounter.CLOSED_IDLE) {
            link.target().ifPresent(dialler::useLongPause);
        }
    }

    private void close(Link link, LinkCounter reason) {
        if (!link.isOpen()) {
            return;
        }
        openLinks.remove(link);
        counters.increment(reason);
        link.close();
        if (link.peer().isPresent()) {
            PeerAddress peer = link.peer().get();
            counters.increment(LinkCounter.UNLINKED);
            Logger.info("link to {} closed: {}", peer.incarnation(), reason);
            notifyUnlinked(peer);
        }
        if (link.target().isPresent()) {
            redial(link, link.target().get());
        }
    }

    private void redial(Link link, HostPort target) {
        boolean stable = link.peer().isPresent() && clock.nanos() - link.openedNanos() > STABLE_LINK_NANOS;
        if (stable) {
            dialler.resetBackoff(target);
        }
        dialler.connectionEnded(target);
    }

    /** Reports a lost link; until the report is queued, no other link to the same process is accepted. */
    private void notifyUnlinked(PeerAddress peer) {
        if (listener.unlinked(peer)) {
            linksByPeer.remove(peer.incarnation());
            return;
        }
        if (!closed) {
            vertx.setTimer(UNLINKED_RETRY_MILLIS, timer -> notifyUnlinked(peer));
        }
    }

    /** Returns the number of sent messages; any thread may read it. */
    MessageCounts sentMessages() {
        return sentMessages;
    }

    /** Returns the number of received messages; any thread may read it. */
    MessageCounts receivedMessages() {
        return receivedMessages;
    }

    /** Sends pending messages and closes all connections and the server. */
    Future<Void> close() {
        closed = true;
        dialler.close();
        List.copyOf(openLinks).forEach(link -> close(link, LinkCounter.CLOSED_LOCALLY));
        return server.map(NetServer::close).orElseGet(Future::succeededFuture);
    }
}
