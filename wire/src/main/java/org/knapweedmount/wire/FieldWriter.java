package org.knapweedmount.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Payload;
import org.msgpack.core.MessagePacker;

/** Writes the fields of one message as MessagePack and refuses fields that exceed the limits. */
final class FieldWriter {
    static final int SENDER = 0;
    static final int RECEIVER = 1;

    private final MessagePacker packer;
    private final LinkEnds ends;

    /** Writes a value. */
    @FunctionalInterface
    interface Format<T> {
        void write(FieldWriter out, T value) throws IOException, FrameException;
    }

    FieldWriter(MessagePacker packer, LinkEnds ends) {
        this.packer = packer;
        this.ends = ends;
    }

    FieldWriter arrayHeader(int fields) throws IOException {
        packer.packArrayHeader(fields);
        return this;
    }

    FieldWriter number(long number) throws IOException {
        packer.packLong(number);
        return this;
    }

    FieldWriter doubleNumber(double number) throws IOException {
        packer.packDouble(number);
        return this;
    }

    FieldWriter flag(boolean flag) throws IOException {
        packer.packBoolean(flag);
        return this;
    }

    <E extends Enum<E>> FieldWriter constant(EnumFormat<E> format, E constant) throws IOException {
        packer.packInt(format.number(constant));
        return this;
    }

    FieldWriter name(String name) throws IOException, FrameException {
        return text(name, WireLimits.MAX_NAME_BYTES);
    }

    FieldWriter text(String text) throws IOException, FrameException {
        return text(text, WireLimits.MAX_TEXT_BYTES);
    }

    private FieldWriter text(String text, int maxBytes) throws IOException, FrameException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > maxBytes) {
            throw new FrameException("a text has " + bytes.length + " bytes, allowed are at most " + maxBytes);
        }
        packer.packRawStringHeader(bytes.length);
        packer.writePayload(bytes);
        return this;
    }

    FieldWriter payload(Payload payload) throws IOException, FrameException {
        if (payload.size() > WireLimits.MAX_PAYLOAD_BYTES) {
            throw new FrameException(
                    "a payload has " + payload.size() + " bytes, allowed are at most " + WireLimits.MAX_PAYLOAD_BYTES);
        }
        packer.packBinaryHeader(payload.size());
        packer.addPayload(payload.bytes());
        return this;
    }

    FieldWriter incarnation(Incarnation incarnation) throws IOException, FrameException {
        Optional<Incarnation> encoded = Optional.of(incarnation);
        if (encoded.equals(ends.sender())) {
            return number(SENDER);
        }
        if (encoded.equals(ends.receiver())) {
            return number(RECEIVER);
        }
        return arrayHeader(2).name(incarnation.process()).number(incarnation.nonce());
    }

    <T> FieldWriter list(List<T> items, Format<T> format) throws IOException, FrameException {
        if (items.size() > WireLimits.MAX_LIST_ITEMS) {
            throw new FrameException(
                    "a list has " + items.size() + " items, allowed are at most " + WireLimits.MAX_LIST_ITEMS);
        }
        packer.packArrayHeader(items.size());
        for (T item : items) {
            format.write(this, item);
        }
        return this;
    }

    <T> FieldWriter optional(Optional<T> value, Format<T> format) throws IOException, FrameException {
        if (value.isPresent()) {
            return value(value.get(), format);
        }
        packer.packNil();
        return this;
    }

    <T> FieldWriter value(T value, Format<T> format) throws IOException, FrameException {
        format.write(this, value);
        return this;
    }
}
