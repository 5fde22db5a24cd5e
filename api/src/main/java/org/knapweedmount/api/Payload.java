package org.knapweedmount.api;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Immutable bytes of a request or a response.
 *
 * <p>The array is not copied on construction or access, because each payload passes through several modules; callers
 * must not modify an array that they pass in or receive.
 */
public final class Payload {
    /** The empty payload. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /**
     * Wraps an array without copying it.
     *
     * @param bytes the bytes, which the caller must not modify afterwards
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
     * Returns the array without copying it.
     *
     * @return the bytes, which the caller must not modify
     */
    public byte[] bytes() {
        return bytes;
    }

    /**
     * Returns the size of the payload, in bytes.
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
