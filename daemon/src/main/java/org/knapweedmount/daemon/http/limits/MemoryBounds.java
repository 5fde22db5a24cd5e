package org.knapweedmount.daemon.http.limits;

/**
 * Bounds on the bytes that are held for the heads, bodies and read buffers of callers.
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
}
