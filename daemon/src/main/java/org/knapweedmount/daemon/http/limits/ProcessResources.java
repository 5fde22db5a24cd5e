package org.knapweedmount.daemon.http.limits;

import io.netty.util.internal.PlatformDependent;

/**
 * What a process may use of its VM. The bounds on callers follow from it, so that this sum is at most the memory: the heap,
 * the direct buffers, the rest of the JVM, and the socket buffers of all connections.
 *
 * @param memoryBytes the memory of the VM, in bytes
 * @param descriptors the number of descriptors that the process may open
 * @param heapBytes the largest heap, in bytes
 * @param directBytes the largest memory of direct buffers, in bytes
 */
public record ProcessResources(long memoryBytes, int descriptors, long heapBytes, long directBytes) {
    /** The socket buffer for what a caller sends and the process has not read, in bytes; the kernel reserves twice that. */
    public static final int RECEIVE_BUFFER_BYTES = 16 * 1_024;

    /** The socket buffer for answers that a caller has not read, in bytes; the kernel reserves twice that. */
    public static final int SEND_BUFFER_BYTES = 8 * 1_024;

    /** The memory of a JVM besides its heap and its direct buffers, in bytes: classes, compiled code, threads, the archive. */
    public static final long JVM_BYTES = 64_000_000;

    private static final int KERNEL_BYTES_PER_CONNECTION = 2 * (RECEIVE_BUFFER_BYTES + SEND_BUFFER_BYTES);

    /** Descriptors that are not for callers: 200 for files, others for links, the store, other servers and accepts. */
    private static final int OTHER_DESCRIPTORS = 612;

    private static final int MIN_CONNECTIONS = 64;
    private static final double HELD_SHARE = 0.2;
    private static final double ADDRESS_HELD_SHARE = 0.15;
    private static final double ADDRESS_SHARE = 0.875;

    /**
     * Returns the resources of this process.
     *
     * @param memoryBytes the memory of the VM, in bytes
     * @param descriptors the number of descriptors that the process may open
     * @return the resources, with the heap and the direct memory that this JVM was started with
     */
    public static ProcessResources ofThisProcess(long memoryBytes, int descriptors) {
        return new ProcessResources(
                memoryBytes, descriptors, Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
    }

    /**
     * Returns the bounds on connections.
     *
     * @return the default bounds, or lower ones if the VM has not enough memory or descriptors for these
     */
    public ConnectionBounds connections() {
        long socketBytes = memoryBytes - heapBytes - directBytes - JVM_BYTES;
        long connections = Math.min(
                ConnectionBounds.DEFAULT.maxConnections(),
                Math.min(descriptors - OTHER_DESCRIPTORS, socketBytes / KERNEL_BYTES_PER_CONNECTION));
        int maxConnections = (int) Math.max(MIN_CONNECTIONS, connections);
        return new ConnectionBounds(maxConnections, (int) (maxConnections * ADDRESS_SHARE));
    }

    /**
     * Returns the bounds on the memory that is held for callers.
     *
     * @return a fifth of the heap for all, three quarters of that for one address
     */
    public MemoryBounds memory() {
        return new MemoryBounds(
                (long) (heapBytes * HELD_SHARE),
                (long) (heapBytes * ADDRESS_HELD_SHARE),
                MemoryBounds.DEFAULT.maxPerConnection());
    }
}
