package org.knapweedmount.daemon.metrics;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.netty.util.internal.PlatformDependent;

/**
 * Reads what the process uses of the machine's memory.
 *
 * <p>The management beans of the virtual machine would tell more, but are themselves large for an agent.
 */
final class ProcessMemory {
    private static final Path STATUS = Path.of("/proc/self/statm");
    private static final int RESIDENT_FIELD = 1;
    private static final long PAGE_BYTES = 4_096;
    private static final long UNKNOWN = -1;

    private ProcessMemory() {}

    /** Returns the resident memory in bytes, or -1 if the system does not tell. */
    static long residentBytes() {
        try {
            String[] fields = Files.readString(STATUS).split(" ", -1);
            return Long.parseLong(fields[RESIDENT_FIELD]) * PAGE_BYTES;
        } catch (IOException | NumberFormatException e) {
            return UNKNOWN;
        }
    }

    /** Returns the memory that the network buffers take outside the heap, in bytes, or -1 if it is not counted. */
    static long directBytes() {
        return PlatformDependent.usedDirectMemory();
    }
}
