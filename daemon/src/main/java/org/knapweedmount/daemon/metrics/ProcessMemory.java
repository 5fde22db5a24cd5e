package org.knapweedmount.daemon.metrics;

import java.io.IOException;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the memory usage of the process. */
final class ProcessMemory {
    private static final Path STATM_FILE = Path.of("/proc/self/statm");
    private static final int RESIDENT_FIELD = 1;
    private static final long PAGE_BYTES = 4_096;
    private static final long UNKNOWN = -1;

    private ProcessMemory() {}

    /** Returns the resident memory in bytes, or -1 if it is not available. */
    static long residentBytes() {
        try {
            String[] fields = Files.readString(STATM_FILE).split(" ", -1);
            return Long.parseLong(fields[RESIDENT_FIELD]) * PAGE_BYTES;
        } catch (IOException | NumberFormatException e) {
            return UNKNOWN;
        }
    }

    /** Returns the size of the direct buffers outside the heap, in bytes. */
    static long directBytes() {
        return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class).stream()
                .filter(pool -> pool.getName().equals("direct"))
                .mapToLong(BufferPoolMXBean::getMemoryUsed)
                .sum();
    }
}
