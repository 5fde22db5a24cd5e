package org.knapweedmount.wire;

import java.io.IOException;
import java.nio.ByteBuffer;

import org.knapweedmount.api.message.Message;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.buffer.MessageBuffer;

/**
 * Turns messages into frames: four bytes of length, then a MessagePack array of the type's number and the fields.
 *
 * <p>Used by one thread; one encoder serves all links, because its buffers are reused.
 */
public final class MessageEncoder {
    /** The size of the length before each frame, in bytes. */
    static final int LENGTH_BYTES = 4;

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    /**
     * Encodes a message.
     *
     * @param message the message
     * @param ends the ends of the link and direction that it is sent over
     * @return the frame with its length prefix
     * @throws FrameException if a part of the message or the whole is over its limit
     */
    public byte[] encode(Message message, LinkEnds ends) throws FrameException {
        packer.clear();
        try {
            MessageType.write(new FieldWriter(packer, ends), message);
            packer.flush();
            return frame(message);
        } catch (IOException e) {
            throw new FrameException("a message could not be encoded", e);
        } finally {
            packer.clear();
        }
    }

    private byte[] frame(Message message) throws FrameException {
        long length = packer.getBufferSize();
        if (length > WireLimits.MAX_FRAME_BYTES) {
            throw new FrameException(
                    MessageType.of(message) + " of " + length + " bytes, allowed are " + WireLimits.MAX_FRAME_BYTES);
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
