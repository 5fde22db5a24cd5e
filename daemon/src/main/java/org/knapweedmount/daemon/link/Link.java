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

/** A connection to another process; confined to the event loop except for {@link #markMessageLost}. */
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

    /** Returns the address that was dialled, empty if the peer opened the connection. */
    Optional<HostPort> target() {
        return target;
    }

    /** Returns the peer, empty until its hello message has been accepted. */
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

    /** Appends a frame to the batch of the next flush; returns true if it is the first frame of the batch. */
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

    /** Flushes the batch and closes the connection. */
    void close() {
        flush();
        open = false;
        socket.close();
    }

    boolean isOpen() {
        return open;
    }

    /** Returns the size of the frames that have not been written to the socket yet, in bytes. */
    long queuedBytes() {
        return queuedBytes;
    }

    /** Returns whether the queue has exceeded a size for longer than a time limit; has to be called periodically. */
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

    /** Returns when the last request or answer was relayed on this link. */
    long lastUsedNanos() {
        return lastUsedNanos;
    }

    void markUsed(long nowNanos) {
        lastUsedNanos = nowNanos;
    }

    void resetReceiveTimeout(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    /** Marks that a message for this link was lost, so that no later message is sent on it; any thread may call it. */
    void markMessageLost() {
        messageLost = true;
    }

    boolean hasLostMessage() {
        return messageLost;
    }
}
