package org.knapweedmount.wire;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.knapweedmount.api.message.Message;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.buffer.MessageBuffer;

/**
 * Encodes messages into frames.
 *
 * <p>A frame consists of a four-byte big-endian length prefix and a MessagePack array of the number of the message type
 * and the fields.
 *
 * <p>This class is not thread-safe. One encoder serves all links, so that its buffers are reused.
 */
public final class MessageEncoder {
    /** The size of the length prefix of a frame, in bytes. */
    static final int LENGTH_BYTES = 4;

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /**
     * Encodes a message.
     *
     * @param message the message
     * @param ends the ends of the link in the direction in which the message is sent
     * @return the frame with its length prefix
     * @throws FrameException if a field or the whole message exceeds its limit
     */
    public byte[] encode(Message message, LinkEnds ends) throws FrameException {
        packer.clear();
        try {
            MessageType.write(new FieldWriter(packer, ends), message);
            packer.flush();
            return frame(message);
        } catch (IOException e) {
            throw new FrameException("the message cannot be encoded", e);
        } finally {
            packer.clear();
        }
    }

    private byte[] frame(Message message) throws FrameException {
        long length = packer.getBufferSize();
        if (length > WireLimits.MAX_FRAME_BYTES) {
            throw new FrameException(MessageType.of(message) + " message has " + length + " bytes, allowed are at most "
                    + WireLimits.MAX_FRAME_BYTES);
        }
        byte[] frame = new byte[LENGTH_BYTES + (int) length];
        ByteBuffer.wrap(frame).putInt((int) length);
        int offset = LENGTH_BYTES;
        for (MessageBuffer part : packer.toBufferList()) {
            part.getBytes(0, frame, offset, part.size());
            offset += part.size();
        }
        return frame;
    }
}
