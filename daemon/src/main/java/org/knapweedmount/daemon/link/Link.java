package org.knapweedmount.daemon.link;

import java.util.Optional;
import java.util.OptionalLong;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.daemon.settings.HostPort;
import org.knapweedmount.wire.FrameException;
import org.knapweedmount.wire.FrameSplitter;
import org.knapweedmount.wire.LinkEnds;

/** One connection to another process; used on the event loop, but for {@link #markMessageLost}. */
final class Link {
    private final NetSocket socket;
    private final Optional<HostPort> target;
    private final FrameSplitter splitter;
    private final long openedNanos;
    private Optional<PeerAddress> peer = Optional.empty();
    private LinkEnds sending = LinkEnds.UNKNOWN;
    private LinkEnds receiving = LinkEnds.UNKNOWN;
    private Optional<Buffer> batch = Optional.empty();
    private long queuedBytes;
    private long lastSentNanos;
    private long lastReceivedNanos;
    private long lastUsedNanos;
    private OptionalLong overLimitSinceNanos = OptionalLong.empty();
    private boolean open = true;
    private volatile boolean messageLost;

    Link(NetSocket socket, Optional<HostPort> target, int maxFrameBytes, long nowNanos) {
        this.socket = socket;
        this.target = target;
        this.splitter = new FrameSplitter(maxFrameBytes);
        this.openedNanos = nowNanos;
        this.lastSentNanos = nowNanos;
        this.lastReceivedNanos = nowNanos;
        this.lastUsedNanos = nowNanos;
    }

    NetSocket socket() {
        return socket;
    }

    /** Returns the address that was dialled, empty if the other end opened the connection. */
    Optional<HostPort> target() {
        return target;
    }

    /** Returns the other end, empty until it has said hello. */
    Optional<PeerAddress> peer() {
        return peer;
    }

    LinkEnds sending() {
        return sending;
    }

    LinkEnds receiving() {
        return receiving;
    }

    void identify(PeerAddress self, PeerAddress other) {
        peer = Optional.of(other);
        sending = LinkEnds.of(self.incarnation(), other.incarnation());
        receiving = LinkEnds.of(other.incarnation(), self.incarnation());
    }

    void receive(byte[] chunk, FrameSplitter.FrameConsumer consumer, long nowNanos) throws FrameException {
        lastReceivedNanos = nowNanos;
        splitter.accept(chunk, consumer);
    }

    /** Adds a frame to what the next flush sends; returns true if it is the first one. */
    boolean append(byte[] frame, long nowNanos) {
        lastSentNanos = nowNanos;
        queuedBytes += frame.length;
        boolean first = batch.isEmpty();
        batch = Optional.of(batch.orElseGet(Buffer::buffer).appendBytes(frame));
        return first;
    }

    void flush() {
        if (batch.isEmpty() || !open) {
            return;
        }
        Buffer written = batch.get();
        batch = Optional.empty();
        int bytes = written.length();
        socket.write(written).onComplete(ignored -> queuedBytes -= bytes);
    }

    /** Sends what was written and closes the connection. */
    void close() {
        flush();
        open = false;
        socket.close();
    }

    boolean isOpen() {
        return open;
    }

    /** Returns the size of the messages that the network has not taken yet, in bytes. */
    long queuedBytes() {
        return queuedBytes;
    }

    /** Tells whether the queue has been over a bound for a time, as seen by regular calls. */
    boolean isStalled(long maxBytes, long limitNanos, long nowNanos) {
        if (queuedBytes <= maxBytes) {
            overLimitSinceNanos = OptionalLong.empty();
            return false;
        }
        if (overLimitSinceNanos.isEmpty()) {
            overLimitSinceNanos = OptionalLong.of(nowNanos);
        }
        return nowNanos - overLimitSinceNanos.getAsLong() > limitNanos;
    }

    long openedNanos() {
        return openedNanos;
    }

    long lastSentNanos() {
        return lastSentNanos;
    }

    long lastReceivedNanos() {
        return lastReceivedNanos;
    }

    /** Returns when something was asked or answered last. */
    long lastUsedNanos() {
        return lastUsedNanos;
    }

    void markUsed(long nowNanos) {
        lastUsedNanos = nowNanos;
    }

    void resetReceiveTimeout(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    /** Notes, on the decision thread, that a message for this link was lost, so that no later one may follow. */
    void markMessageLost() {
        messageLost = true;
    }

    boolean hasLostMessage() {
        return messageLost;
    }
}
