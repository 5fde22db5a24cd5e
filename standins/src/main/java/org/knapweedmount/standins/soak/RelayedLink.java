package org.knapweedmount.standins.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Hello;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.wire.FrameException;
import org.knapweedmount.wire.FrameSplitter;
import org.knapweedmount.wire.LinkEnds;
import org.knapweedmount.wire.MessageDecoder;
import org.knapweedmount.wire.MessageEncoder;
import org.knapweedmount.wire.WireLimits;
import org.tinylog.Logger;

/**
 * One direction of a connection between two processes, which passes on whole messages.
 *
 * <p>Addresses of entries in messages are replaced by those of their relays, so that no process finds a way around them.
 */
final class RelayedLink {
    private static final int HELLO_TYPE = 1;
    private static final int PEERS_TYPE = 4;

    private final Vertx vertx;
    private final NetSocket destination;
    private final boolean toEntry;
    private final UnaryOperator<PeerAddress> addresses;
    private final Consumer<Incarnation> opener;
    private final FrameSplitter splitter = new FrameSplitter(WireLimits.MAX_FRAME_BYTES);
    private final MessageDecoder decoder = new MessageDecoder();
    private final MessageEncoder encoder = new MessageEncoder();
    private final Deque<Frame> queue = new ArrayDeque<>();
    private Optional<LinkConditions> conditions = Optional.empty();
    private boolean ended;

    private record Frame(long dueNanos, Buffer bytes) {}

    RelayedLink(
            Vertx vertx,
            NetSocket destination,
            boolean toEntry,
            UnaryOperator<PeerAddress> addresses,
            Consumer<Incarnation> opener) {
        this.vertx = vertx;
        this.destination = destination;
        this.toEntry = toEntry;
        this.addresses = addresses;
        this.opener = opener;
    }

    /** Applies the conditions of the process that opened the connection; until then nothing is passed on. */
    void apply(LinkConditions known) {
        conditions = Optional.of(known);
        drain();
    }

    void receive(Buffer chunk) {
        try {
            splitter.accept(chunk.getBytes(), this::frame);
            drain();
        } catch (FrameException e) {
            Logger.error(e, "a message between two processes cannot be read");
            ended = true;
            destination.close();
        }
    }

    private void frame(byte[] bytes, int offset, int length) throws FrameException {
        int type = bytes[offset + 1];
        Buffer frame = Buffer.buffer();
        if (type == HELLO_TYPE || type == PEERS_TYPE) {
            Message message = decoder.decode(bytes, offset, length, LinkEnds.UNKNOWN);
            if (message instanceof Hello hello) {
                opener.accept(hello.sender().incarnation());
            }
            frame.appendBytes(encoder.encode(relayed(message), LinkEnds.UNKNOWN));
        } else {
            frame.appendInt(length).appendBytes(bytes, offset, length);
        }
        long delayMillis = conditions.map(LinkConditions::delayMillis).orElse(0);
        queue.add(new Frame(System.nanoTime() + delayMillis * 1_000_000, frame));
        if (delayMillis > 0) {
            vertx.setTimer(delayMillis, timer -> drain());
        }
    }

    private Message relayed(Message message) {
        if (message instanceof Hello hello) {
            return new Hello(hello.protocolVersion(), addresses.apply(hello.sender()));
        }
        List<PeerAddress> entries = ((Peers) message).entries();
        return new Peers(entries.stream().map(addresses).toList());
    }

    /** Passes on what is due and not held back. */
    void drain() {
        if (ended || conditions.isEmpty() || conditions.get().held(toEntry)) {
            return;
        }
        long nowNanos = System.nanoTime();
        while (!queue.isEmpty() && queue.peek().dueNanos() - nowNanos <= 0) {
            destination.write(queue.remove().bytes()).onFailure(failure -> Logger.debug(failure, "link closed"));
        }
        if (!queue.isEmpty()) {
            long millis = 1 + Math.max(0, (queue.peek().dueNanos() - nowNanos) / 1_000_000);
            vertx.setTimer(millis, timer -> drain());
        }
    }

    void end() {
        ended = true;
    }
}
