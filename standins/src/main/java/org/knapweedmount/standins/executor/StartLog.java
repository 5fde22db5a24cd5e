package org.knapweedmount.standins.executor;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Appends a line to a file for each task start, so that a test can check where and when each task was started.
 *
 * <p>A line consists of the time in ms since 1970, the endpoint ID, the task ID and {@code first} or {@code
 * duplicate}, separated by spaces. Each line is flushed to the operating system immediately, so that none is lost when
 * the process is killed.
 */
public final class StartLog implements Closeable {
    private final Writer writer;

    private StartLog(Writer writer) {
        this.writer = writer;
    }

    /**
     * Opens a log that appends to a file, creating the file if it does not exist.
     *
     * @param file the file
     * @return the log
     * @throws IOException if the file cannot be opened for writing
     */
    public static StartLog open(Path file) throws IOException {
        return new StartLog(Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    }

    /**
     * Creates a log that discards all lines.
     *
     * @return the log
     */
    public static StartLog none() {
        return new StartLog(Writer.nullWriter());
    }

    /**
     * Appends a line for a task start.
     *
     * @param epochMillis the time of the start, in ms since 1970
     * @param endpointId the ID of the endpoint that started the task
     * @param taskId the ID of the task
     * @param first true if this process had not already started the task
     */
    public void append(long epochMillis, String endpointId, String taskId, boolean first) {
        try {
            writer.write(epochMillis + " " + endpointId + " " + taskId + (first ? " first\n" : " duplicate\n"));
            writer.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        writer.close();
    }
}
