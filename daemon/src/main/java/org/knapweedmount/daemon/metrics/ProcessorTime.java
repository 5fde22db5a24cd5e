package org.knapweedmount.daemon.metrics;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the processor time of the process. */
final class ProcessorTime {
    private static final Path STAT_FILE = Path.of("/proc/self/stat");

    /** The fields of the file after the name of the command, which is in parentheses and may contain spaces. */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final long TICK_MILLIS = 10; // USER_HZ is 100 on all architectures that Java runs on
    private static final long UNKNOWN = -1;

    private ProcessorTime() {}

    /** Returns the processor time of all threads since the start of the process, in ms, or -1 if it is not available. */
    static long millis() {
        try {
            return millis(Files.readString(STAT_FILE));
        } catch (IOException | NumberFormatException e) {
            return UNKNOWN;
        }
    }

    static long millis(String stat) {
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
        return TICK_MILLIS * (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]));
    }
}
