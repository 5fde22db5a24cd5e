package org.knapweedmount.wire;

import java.io.IOException;

import org.knapweedmount.api.message.Message;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Turns frames into messages, and refuses every frame that is not exactly one message within the limits.
 *
 * <p>Has no state, so that any thread may use it.
 */
public final class MessageDecoder {
    /**
     * Decodes a frame.
     *
     * @param bytes holds the frame
     * @param offset where the frame begins, after its length prefix
     * @param length the size of the frame, in bytes
     * @param ends the ends of the link and direction that it came over
     * @return the message
     * @throws FrameException if the bytes are no message
     */
    public Message decode(byte[] bytes, int offset, int length, LinkEnds ends) throws FrameException {
        MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, offset, length);
        FieldReader in = new FieldReader(unpacker, ends, length);
        try {
            Message message = MessageType.read(in);
            if (in.remaining() != 0) {
                throw new FrameException(in.remaining() + " bytes are left after the message");
            }
            return message;
        } catch (IOException | RuntimeException e) {
            // The unpacker and the checks of the records throw unchecked exceptions for bad input.
            throw new FrameException("a frame of " + length + " bytes is no message: " + e.getMessage(), e);
        }
    }
}
