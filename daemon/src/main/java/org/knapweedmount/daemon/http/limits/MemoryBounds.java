package org.knapweedmount.daemon.http.limits;

/**
 * Bounds on the memory that is held for the requests and answers of callers.
 *
 * @param maxHeldBytes the maximum of the process, in bytes
 * @param maxPerAddress the maximum for one IP address, in bytes
 * @param maxPerConnection the maximum for one connection, in bytes; at least one request inside the limits is admitted
 */
public record MemoryBounds(long maxHeldBytes, long maxPerAddress, long maxPerConnection) {
    /**
     * A fifth of a heap of 160 MB. 800 connections with a body of 10 KB each hold 20 MB with their buffers, if all arrive at
     * the same time.
     */
    public static final MemoryBounds DEFAULT = new MemoryBounds(32_000_000, 24_000_000, 600_000);

    /** The memory of a decoded line of a head or of a trailer besides its characters, in bytes: an entry and two strings. */
    private static final int LINE_BYTES = 160;

    /** The size of the shortest line, in bytes. */
    private static final int MIN_LINE_BYTES = 4;

    /** Returns the memory of decoded lines, in bytes. */
    static int linesBytes(int bytes, int lines) {
        return bytes + lines * LINE_BYTES;
    }

    /** Returns the memory that lines of a total size can take once they are decoded, in bytes. */
    static long maxLinesBytes(int bytes) {
        return bytes + (long) (bytes / MIN_LINE_BYTES) * LINE_BYTES;
    }
}
