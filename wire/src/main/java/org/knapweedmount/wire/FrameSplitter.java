package org.knapweedmount.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Cuts the bytes of a connection into frames, however the network has divided them.
 *
 * <p>Used by one thread. Keeps no more than one incomplete frame, and reserves no memory before its bytes arrive.
 */
public final class FrameSplitter {
    private static final int MAX_REUSED_BUFFER_BYTES = 16 * 1024;
    private static final byte[] EMPTY = new byte[0];

    private final int maxFrameBytes;
    private byte[] pending = EMPTY;
    private int pendingBytes;

    /** Takes the frames. */
    @FunctionalInterface
    public interface FrameConsumer {
        /**
         * Takes one frame.
         *
         * @param bytes holds the frame, only until this method returns
         * @param offset where the frame begins
         * @param length the size of the frame, in bytes
         * @throws FrameException if the frame is no message
         */
        void accept(byte[] bytes, int offset, int length) throws FrameException;
    }

    /**
     * Creates a splitter.
     *
     * @param maxFrameBytes the largest frame that is accepted, without its length prefix, in bytes
     */
    public FrameSplitter(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    /**
     * Takes the next bytes of the connection.
     *
     * @param chunk the bytes
     * @param consumer takes each frame that is complete now
     * @throws FrameException if a length is out of range or the consumer refuses a frame; the rest of the connection
     *     cannot be read then
     */
    public void accept(byte[] chunk, FrameConsumer consumer) throws FrameException {
        if (pendingBytes == 0) {
            int consumedBytes = consume(chunk, chunk.length, consumer);
            storeRemainder(chunk, consumedBytes, chunk.length);
            return;
        }
        append(chunk);
        int consumedBytes = consume(pending, pendingBytes, consumer);
        if (consumedBytes > 0) {
            storeRemainder(pending, consumedBytes, pendingBytes);
        }
    }

    private int consume(byte[] bytes, int end, FrameConsumer consumer) throws FrameException {
        int offset = 0;
        while (end - offset >= MessageEncoder.LENGTH_BYTES) {
            int length = ByteBuffer.wrap(bytes).getInt(offset);
            if (length < 1 || length > maxFrameBytes) {
                throw new FrameException("a frame of " + length + " bytes, allowed are 1 to " + maxFrameBytes);
            }
            int start = offset + MessageEncoder.LENGTH_BYTES;
            if (end - start < length) {
                break;
            }
            consumer.accept(bytes, start, length);
            offset = start + length;
        }
        return offset;
    }

    private void append(byte[] chunk) {
        int needed = pendingBytes + chunk.length;
        if (needed > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(needed, 2 * pending.length));
        }
        System.arraycopy(chunk, 0, pending, pendingBytes, chunk.length);
        pendingBytes = needed;
    }

    private void storeRemainder(byte[] bytes, int from, int to) {
        int count = to - from;
        boolean reuse = count <= pending.length && pending.length <= MAX_REUSED_BUFFER_BYTES;
        byte[] target = reuse ? pending : new byte[count];
        System.arraycopy(bytes, from, target, 0, count);
        pending = target;
        pendingBytes = count;
    }
}
