package org.knapweedmount.standins.soak;

import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A shell that kills the processes of a soak as soon as the soak's own process is gone, however it ends.
 *
 * <p>It reads one line for each change, with the IDs of all processes, and kills those of the last line at the end of its
 * input.
 */
final class ProcessWatchdog {
    private static final String SCRIPT =
            "last=; while read -r line; do last=$line; done; [ -z \"$last\" ] || kill -KILL $last 2>/dev/null";

    private final Writer input;

    ProcessWatchdog() throws IOException {
        Process shell = new ProcessBuilder("sh", "-c", SCRIPT)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        input = shell.outputWriter(StandardCharsets.US_ASCII);
    }

    /** Replaces the processes that are killed at the end. */
    synchronized void update(Set<Long> processIds) throws IOException {
        input.write(processIds.stream().map(String::valueOf).collect(Collectors.joining(" ")) + "\n");
        input.flush();
    }

    void close() throws IOException {
        input.close();
    }
}
