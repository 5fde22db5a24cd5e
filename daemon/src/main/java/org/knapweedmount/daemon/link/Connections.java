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
 * The connections of a process: opens and accepts them, checks the hellos, and closes what no longer serves.
 *
 * <p>Used on one event loop.
 */
final class Connections implements Outbox.Receiver {
    private static final long PROVEN_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long LOSS_RETRY_MILLIS = 10;
    private static final int TICKS_PER_HEARTBEAT = 4;
    private static final int PAUSE_TICKS = 4;
    private static final int BURST_FACTOR = 4;

    private final Vertx vertx;
    private final LinkOptions options;
    private final NanoClock clock;
    private final LongSupplier configNumber;
    private final Counters<LinkCounter> counters;
    private final Listener listener;
    private final Dialer dialer;
    private final LinkInspector inspector;
    private final MessageEncoder encoder = new MessageEncoder();
    private final MessageDecoder decoder = new MessageDecoder();
    private final Set<Link> open = new LinkedHashSet<>();
    private final Map<Incarnation, Link> byPeer = new HashMap<>();
    private final List<Link> unflushed = new ArrayList<>();
    private final long heartbeatNanos;
    private final long tickNanos;
    private PeerAddress self;
    private Optional<NetServer> server = Optional.empty();
    private long lastTickNanos;
    private boolean closed;

    /** Passes on what happens; each method returns false if the decision thread cannot take it now. */
    interface Listener {
        boolean linked(Link link, PeerAddress peer);

        boolean unlinked(Incarnation peer);

        boolean received(Incarnation from, Message message);
    }

    Connections(
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
        this.dialer = new Dialer(
                vertx,
                clock,
                counters,
                options.seed(),
                this::reached,
                (socket, target) -> opened(socket, Optional.of(target)));
        this.inspector = new LinkInspector(self, options);
        this.heartbeatNanos = TimeUnit.MILLISECONDS.toNanos(options.heartbeatMillis());
        this.tickNanos = heartbeatNanos / TICKS_PER_HEARTBEAT;
    }

    /** Begins to send heartbeats and to look for silent links. */
    void start() {
        lastTickNanos = clock.nanos();
        long tickMillis = Math.max(1, options.heartbeatMillis() / TICKS_PER_HEARTBEAT);
        vertx.setPeriodic(tickMillis, timer -> tick());
    }

    /** Accepts connections; returns this process's address with the port that others connect to. */
    Future<PeerAddress> listen(String host, int port, OptionalInt advertisedPort) {
        NetServer listening = vertx.createNetServer(
                new NetServerOptions().setHost(host).setPort(port).setTcpNoDelay(true));
        server = Optional.of(listening);
        listening.connectHandler(socket -> opened(socket, Optional.empty()));
        return listening.listen().map(bound -> {
            int advertised = advertisedPort.orElse(bound.actualPort());
            self = new PeerAddress(self.incarnation(), self.role(), self.region(), self.dataCentre(), host, advertised);
            return self;
        });
    }

    /** Wants a link to an address that is in the settings. */
    void dial(HostPort address) {
        dialer.want(address, true);
    }

    /** Wants a link to an entry of this region, if it is up to this process to open it. */
    void know(PeerAddress peer) {
        if (listens(peer) && self.sharesRegionWith(peer) && HelloVerdict.opens(self, peer)) {
            dialer.want(new HostPort(peer.host(), peer.port()), false);
        }
    }

    /**
     * Wants a link to an entry of another region for the moment.
     *
     * <p>If the other entry is to open the link, this one connects all the same: by its hello the other learns that a link
     * is wanted.
     */
    void reach(PeerAddress peer) {
        if (listens(peer)) {
            dialer.wantBriefly(new HostPort(peer.host(), peer.port()));
        }
    }

    private boolean listens(PeerAddress peer) {
        boolean other = !peer.incarnation().equals(self.incarnation());
        return other && peer.role() == Role.ENTRY && HostPort.isIpAddress(peer.host()) && peer.port() > 0;
    }

    private boolean reached(HostPort address) {
        return isAt(self, address)
                || byPeer.values().stream()
                        .flatMap(link -> link.peer().stream())
                        .anyMatch(peer -> isAt(peer, address));
    }

    private static boolean isAt(PeerAddress peer, HostPort address) {
        return peer.port() == address.port() && peer.host().equals(address.host());
    }

    private void opened(NetSocket socket, Optional<HostPort> target) {
        Link link = new Link(socket, target, options.maxFrameBytes(), clock.nanos());
        open.add(link);
        socket.closeHandler(ignored -> close(link, LinkCounter.CLOSED_BY_PEER));
        socket.exceptionHandler(failure -> Logger.debug(failure, "a connection failed"));
        if (open.size() > options.maxLinks()) {
            close(link, LinkCounter.CLOSED_EXCESS);
            return;
        }
        socket.handler(chunk -> read(link, chunk.getBytes()));
        write(link, new Hello(Hello.PROTOCOL_VERSION, self));
        flush();
    }

    private void read(Link link, byte[] chunk) {
        counters.add(LinkCounter.RECEIVED_BYTES, chunk.length);
        try {
            link.split(chunk, (bytes, offset, length) -> frame(link, bytes, offset, length), clock.nanos());
        } catch (FrameException e) {
            Logger.warn("bad frame from {}: {}", link.socket().remoteAddress(), e.getMessage());
            close(link, LinkCounter.CLOSED_BAD_FRAME);
        }
    }

    private void frame(Link link, byte[] bytes, int offset, int length) throws FrameException {
        if (!link.isOpen()) {
            return;
        }
        Message message = decoder.decode(bytes, offset, length, link.receiving());
        counters.increment(LinkCounter.RECEIVED_MESSAGES);
        if (link.peer().isEmpty()) {
            greeted(link, message);
            return;
        }
        if (message instanceof Hello) {
            close(link, LinkCounter.CLOSED_HELLO);
            return;
        }
        noteUse(link, message);
        if (!listener.received(link.peer().get().incarnation(), message)) {
            close(link, LinkCounter.CLOSED_RING_FULL);
        }
    }

    private void greeted(Link link, Message message) {
        if (!(message instanceof Hello hello)) {
            close(link, LinkCounter.CLOSED_HELLO);
            return;
        }
        PeerAddress peer = hello.sender();
        HelloVerdict verdict = HelloVerdict.of(self, hello, link.target().isPresent());
        if (verdict != HelloVerdict.ACCEPT) {
            refuse(link, peer, verdict);
            return;
        }
        if (byPeer.containsKey(peer.incarnation())) {
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
        byPeer.put(peer.incarnation(), link);
        Logger.info("linked to {}", peer.incarnation());
    }

    private void refuse(Link link, PeerAddress peer, HelloVerdict verdict) {
        Logger.debug("no link with {}: {}", peer.incarnation(), verdict);
        if (verdict == HelloVerdict.SELF) {
            link.target().ifPresent(dialer::forget);
        }
        if (verdict == HelloVerdict.WRONG_DIRECTION) {
            link.target().ifPresent(dialer::settle);
            wantBack(link, peer);
        }
        if (verdict == HelloVerdict.OTHER_REGION) {
            link.target().ifPresent(dialer::settle);
        }
        close(link, LinkCounter.CLOSED_HELLO);
    }

    /** Opens the link that the other end has connected for, if it is up to this process to open it. */
    private void wantBack(Link link, PeerAddress peer) {
        if (self.sharesRegionWith(peer)) {
            know(peer);
        } else if (link.target().isEmpty()) {
            reach(peer);
        }
    }

    @Override
    public void write(Link link, Message message) {
        if (!link.isOpen()) {
            counters.increment(LinkCounter.UNLINKED_SENDS);
            return;
        }
        boolean overflowing = link.queuedBytes() > (long) BURST_FACTOR * options.maxQueuedBytes();
        if (link.isCutOff() || overflowing) {
            close(link, LinkCounter.CLOSED_OVERFLOW);
            return;
        }
        try {
            byte[] frame = encoder.encode(message, link.sending());
            counters.increment(LinkCounter.SENT_MESSAGES);
            noteUse(link, message);
            counters.add(LinkCounter.SENT_BYTES, frame.length);
            if (link.append(frame, clock.nanos())) {
                unflushed.add(link);
            }
        } catch (FrameException e) {
            Logger.error("a message was not sent: {}", e.getMessage());
            counters.increment(LinkCounter.OVERSIZED_SENDS);
        }
    }

    private void noteUse(Link link, Message message) {
        if (message instanceof RelayRequest || message instanceof RelayAnswer) {
            link.used(clock.nanos());
        }
    }

    @Override
    public void flush() {
        unflushed.forEach(Link::flush);
        unflushed.clear();
    }

    private void tick() {
        long nowNanos = clock.nanos();
        boolean paused = nowNanos - lastTickNanos > PAUSE_TICKS * tickNanos;
        lastTickNanos = nowNanos;
        for (Link link : List.copyOf(open)) {
            if (paused) {
                link.forgiveSilence(nowNanos);
            }
            inspect(link, nowNanos);
        }
        flush();
    }

    private void inspect(Link link, long nowNanos) {
        Optional<LinkCounter> reason = inspector.reasonToClose(link, nowNanos);
        if (reason.isPresent()) {
            close(link, reason.get());
            settleIdle(link, reason.get());
            return;
        }
        if (link.peer().isPresent() && nowNanos - link.lastSentNanos() >= heartbeatNanos) {
            write(link, new Heartbeat(configNumber.getAsLong()));
        }
    }

    /** Keeps a link that is not needed at the moment from being opened again at once. */
    private void settleIdle(Link link, LinkCounter reason) {
        if (reason == LinkCounter.CLOSED_IDLE) {
            link.target().ifPresent(dialer::settle);
        }
    }

    private void close(Link link, LinkCounter reason) {
        if (!link.isOpen()) {
            return;
        }
        open.remove(link);
        counters.increment(reason);
        link.close();
        if (link.peer().isPresent()) {
            Incarnation peer = link.peer().get().incarnation();
            counters.increment(LinkCounter.UNLINKED);
            Logger.info("link to {} ended: {}", peer, reason);
            announceLoss(peer);
        }
        if (link.target().isPresent()) {
            redial(link, link.target().get());
        }
    }

    private void redial(Link link, HostPort target) {
        boolean proven = link.peer().isPresent() && clock.nanos() - link.openedNanos() > PROVEN_NANOS;
        if (proven) {
            dialer.succeeded(target);
        }
        dialer.ended(target);
    }

    /** Tells the loss of a link; until that is taken, no other link to the same process is accepted. */
    private void announceLoss(Incarnation peer) {
        if (listener.unlinked(peer)) {
            byPeer.remove(peer);
            return;
        }
        if (!closed) {
            vertx.setTimer(LOSS_RETRY_MILLIS, timer -> announceLoss(peer));
        }
    }

    /** Closes everything after what was written has been sent. */
    Future<Void> close() {
        closed = true;
        dialer.close();
        List.copyOf(open).forEach(link -> close(link, LinkCounter.CLOSED_LOCALLY));
        return server.map(NetServer::close).orElseGet(Future::succeededFuture);
    }
}
