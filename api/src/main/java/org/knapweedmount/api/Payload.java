package org.knapweedmount.api;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Immutable bytes of a request or an answer.
 *
 * <p>The bytes are not copied on the way in or out, since they pass through several modules on the way of each task;
 * whoever hands an array over does not change it afterwards.
 */
public final class Payload {
    /** No bytes. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Wraps bytes without a copy.
     *
     * @param bytes the bytes, which the caller does not change afterwards
     * @return the payload
     */
    public static Payload of(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Payload(bytes);
    }

    /**
     * Encodes a text in UTF-8.
     *
     * @param text the text
     * @return the payload
     */
    public static Payload of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the bytes without a copy.
     *
     * @return the bytes, which the caller does not change
     */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the size.
     *
     * @return the number of bytes
     */
    public int size() {
        return bytes.length;
    }

    /**
     * Decodes the bytes as UTF-8.
     *
     * @return the text
     */
    public String text() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return bytes.length + " bytes";
    }
}
