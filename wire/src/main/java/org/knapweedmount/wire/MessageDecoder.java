package org.knapweedmount.wire;

import java.io.IOException;

import org.knapweedmount.api.message.Message;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Decodes frames into messages, and refuses every frame that is not exactly one message within the limits.
 *
 * <p>This class is stateless and thread-safe.
 */
public final class MessageDecoder {
    /**
     * Decodes a frame.
     *
     * @param bytes the array that contains the frame
     * @param offset the start of the frame in the array, after the length prefix
     * @param length the size of the frame without its length prefix, in bytes
     * @param ends the ends of the link in the direction in which the frame was sent
     * @return the message
     * @throws FrameException if the frame is not a valid message
     */
    public Message decode(byte[] bytes, int offset, int length, LinkEnds ends) throws FrameException {
        MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, offset, length);
        FieldReader in = new FieldReader(unpacker, ends, length);
        try {
            Message message = MessageType.read(in);
            if (in.remaining() != 0) {
                throw new FrameException(in.remaining() + " bytes are left over after the message");
            }
            return message;
        } catch (IOException | RuntimeException e) {
            // The unpacker and the constructors of the records throw unchecked exceptions for invalid input.
            throw new FrameException("a frame of " + length + " bytes is not a valid message: " + e.getMessage(), e);
        }
    }
}
