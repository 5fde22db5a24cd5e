package org.knapweedmount.daemon.http.limits;

import java.util.function.IntSupplier;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;

/**
 * Lets each connection be read once in a turn of the event loop, so that those which send much do not delay the others, and
 * shares a number of bytes for each turn among the connections that are receiving a request.
 */
final class ReadShares extends DefaultMaxMessagesRecvByteBufAllocator {
    /** The largest read, in bytes. */
    static final int MAX_READ_BYTES = 8 * 1_024;

    private static final int MIN_READ_BYTES = 512;
    private static final int TURN_BYTES = 256 * 1_024;

    private final IntSupplier receivingConnections;

    /**
     * Creates shares.
     *
     * @param receivingConnections returns the number of connections that are receiving a request
     */
    ReadShares(IntSupplier receivingConnections) {
        super(1);
        this.receivingConnections = receivingConnections;
    }

    /** Returns the size of the next read of a connection, in bytes. */
    int readBytes() {
        int share = TURN_BYTES / Math.max(1, receivingConnections.getAsInt());
        return Math.max(MIN_READ_BYTES, Math.min(MAX_READ_BYTES, share));
    }

    @Override
    @SuppressWarnings("deprecation") // the type that the method of the superclass returns
    public Handle newHandle() {
        return new MaxMessageHandle() {
            @Override
            public int guess() {
                return readBytes();
            }
        };
    }
}
