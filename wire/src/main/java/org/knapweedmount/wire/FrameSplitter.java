package org.knapweedmount.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits the byte stream of a connection into frames, independently of the sizes in which the bytes arrive.
 *
 * <p>This class is not thread-safe. It buffers at most one incomplete frame, and allocates no memory for bytes that
 * have not arrived.
 */
public final class FrameSplitter {
    private static final int MAX_REUSED_BUFFER_BYTES = 16 * 1024;
    private static final byte[] EMPTY = new byte[0];

    private final int maxFrameBytes;
    private byte[] pending = EMPTY;
    private int pendingBytes;

    /** Receives frames. */
    @FunctionalInterface
    public interface FrameConsumer {
        /**
         * Receives a frame.
         *
         * @param bytes the array that contains the frame; valid only until this method returns
         * @param offset the start of the frame in the array, after the length prefix
         * @param length the size of the frame without its length prefix, in bytes
         * @throws FrameException if the frame is not a valid message
         */
        void accept(byte[] bytes, int offset, int length) throws FrameException;
    }

    /**
     * Creates a splitter.
     *
     * @param maxFrameBytes the maximum size of a frame without its length prefix, in bytes
     */
    public FrameSplitter(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    /**
     * Processes the next bytes of the connection.
     *
     * @param chunk the bytes
     * @param consumer receives each frame that is now complete
     * @throws FrameException if a length is out of range or the consumer refuses a frame; the rest of the stream can
     *     then no longer be decoded
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
                throw new FrameException("a frame has " + length + " bytes, allowed are 1 to " + maxFrameBytes);
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
