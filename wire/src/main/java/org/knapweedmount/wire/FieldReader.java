package org.knapweedmount.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Payload;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * Reads the fields of one message and refuses fields that exceed the limits.
 *
 * <p>Each length is compared with the number of remaining bytes before it is used, so that a short frame cannot make
 * the process allocate much memory.
 */
final class FieldReader {
    private final MessageUnpacker unpacker;
    private final LinkEnds ends;
    private final int frameBytes;

    /** Reads a value. */
    @FunctionalInterface
    interface Format<T> {
        T read(FieldReader in) throws IOException, FrameException;
    }

    FieldReader(MessageUnpacker unpacker, LinkEnds ends, int frameBytes) {
        this.unpacker = unpacker;
        this.ends = ends;
        this.frameBytes = frameBytes;
    }

    long remaining() {
        return frameBytes - unpacker.getTotalReadBytes();
    }

    void expectArray(int expectedFields) throws IOException, FrameException {
        int actualFields = unpacker.unpackArrayHeader();
        if (actualFields != expectedFields) {
            throw new FrameException("an array has " + actualFields + " fields, expected " + expectedFields);
        }
    }

    int arrayHeader() throws IOException {
        return unpacker.unpackArrayHeader();
    }

    long anyLong() throws IOException {
        return unpacker.unpackLong();
    }

    long nonNegativeLong() throws IOException, FrameException {
        long number = unpacker.unpackLong();
        if (number < 0) {
            throw new FrameException("a number is negative: " + number + ", expected at least 0");
        }
        return number;
    }

    int nonNegativeInt() throws IOException, FrameException {
        int number = unpacker.unpackInt();
        if (number < 0) {
            throw new FrameException("a count is negative: " + number + ", expected at least 0");
        }
        return number;
    }

    double finiteDouble() throws IOException, FrameException {
        double number = unpacker.unpackDouble();
        if (!Double.isFinite(number)) {
            throw new FrameException("a number is not finite: " + number);
        }
        return number;
    }

    boolean flag() throws IOException {
        return unpacker.unpackBoolean();
    }

    <E extends Enum<E>> E constant(EnumFormat<E> format) throws IOException, FrameException {
        return format.constant(unpacker.unpackInt());
    }

    String name() throws IOException, FrameException {
        return text(WireLimits.MAX_NAME_BYTES);
    }

    String text() throws IOException, FrameException {
        return text(WireLimits.MAX_TEXT_BYTES);
    }

    private String text(int maxBytes) throws IOException, FrameException {
        int length = checkLength(unpacker.unpackRawStringHeader(), maxBytes);
        return new String(unpacker.readPayload(length), StandardCharsets.UTF_8);
    }

    Payload payload() throws IOException, FrameException {
        int length = checkLength(unpacker.unpackBinaryHeader(), WireLimits.MAX_PAYLOAD_BYTES);
        return Payload.of(unpacker.readPayload(length));
    }

    Incarnation incarnation() throws IOException, FrameException {
        if (unpacker.getNextFormat().getValueType() == ValueType.INTEGER) {
            return linkEnd(unpacker.unpackInt());
        }
        expectArray(2);
        return new Incarnation(name(), anyLong());
    }

    private Incarnation linkEnd(int number) throws FrameException {
        Optional<Incarnation> end = switch (number) {
            case FieldWriter.SENDER -> ends.sender();
            case FieldWriter.RECEIVER -> ends.receiver();
            default -> Optional.empty();
        };
        if (end.isEmpty()) {
            throw new FrameException("an incarnation refers to end " + number + " of the link, expected a known end: "
                    + FieldWriter.SENDER + " for the sender or " + FieldWriter.RECEIVER + " for the receiver");
        }
        return end.get();
    }

    <T> List<T> list(Format<T> format) throws IOException, FrameException {
        int count = checkLength(unpacker.unpackArrayHeader(), WireLimits.MAX_LIST_ITEMS);
        List<T> items = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            items.add(format.read(this));
        }
        return items;
    }

    <T> Optional<T> optional(Format<T> format) throws IOException, FrameException {
        if (unpacker.tryUnpackNil()) {
            return Optional.empty();
        }
        return Optional.of(format.read(this));
    }

    private int checkLength(int length, int max) throws FrameException {
        if (length < 0 || length > max || length > remaining()) {
            throw new FrameException("a length is " + length + ", allowed are at most " + max + ", and " + remaining()
                    + " bytes are left");
        }
        return length;
    }
}
