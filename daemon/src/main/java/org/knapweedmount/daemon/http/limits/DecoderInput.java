package org.knapweedmount.daemon.http.limits;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * The bytes that were passed to a decoder and that it has not consumed, in memory of the heap, so that no buffer outside the
 * heap is kept while a caller sends nothing. Confined to the event loop of the connection.
 */
final class DecoderInput implements ByteToMessageDecoder.Cumulator {
    private static final byte[] EMPTY = {};

    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;
    private byte[] array = EMPTY;
    private int stepStart;
    private int end;

    @Override
    public ByteBuf cumulate(ByteBufAllocator allocator, ByteBuf left, ByteBuf read) {
        try {
            if (!read.isReadable()) {
                // Bytes may have been discarded since the last step.
                stepStart = left.readerIndex();
                end = left.writerIndex();
                return left;
            }
            int length = left.readableBytes() + read.readableBytes();
            ByteBuf joined = Unpooled.buffer(length, length).writeBytes(left).writeBytes(read);
            left.release();
            bytes = joined;
            array = joined.array();
            stepStart = 0;
            end = length;
            return joined;
        } finally {
            read.release();
        }
    }

    /** Returns the number of bytes that the decoder has consumed since it was called last. */
    int consumed() {
        return stepEnd() - stepStart;
    }

    /** Returns the number of lines that end in these bytes. */
    int consumedLines() {
        int lines = 0;
        for (int i = stepStart; i < stepEnd(); i++) {
            if (array[i] == '\n') {
                lines++;
            }
        }
        return lines;
    }

    private int stepEnd() {
        return bytes.refCnt() > 0 ? bytes.readerIndex() : end;
    }

    /** Returns the number of bytes that are not consumed. */
    int unread() {
        return bytes.refCnt() > 0 ? bytes.readableBytes() : 0;
    }

    /** Returns the memory of the bytes. */
    int capacity() {
        return bytes.refCnt() > 0 ? bytes.capacity() : 0;
    }

    /** Counts the bytes in front of a request that the decoder skips. */
    int skippable(ByteBuf next) {
        int skippable = skippableBytes(bytes.refCnt() > 0 ? bytes : Unpooled.EMPTY_BUFFER);
        return skippable < unread() ? skippable : skippable + skippableBytes(next);
    }

    private static int skippableBytes(ByteBuf buffer) {
        int index = buffer.readerIndex();
        while (index < buffer.writerIndex() && isSkipped(buffer.getByte(index))) {
            index++;
        }
        return index - buffer.readerIndex();
    }

    private static boolean isSkipped(byte value) {
        return value >= 0 && (Character.isISOControl(value) || Character.isWhitespace(value));
    }
}
