package org.knapweedmount.standins.executor;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Appends a line for each start to a file, so that a test can check afterwards what was started where and when.
 *
 * <p>A line has the time in ms since 1970, the endpoint's id, the task's id and {@code first} or {@code duplicate},
 * separated by blanks. Each line is handed to the operating system at once, so that none is lost when the process is
 * killed.
 */
public final class StartLog implements Closeable {
    private final Writer writer;

    private StartLog(Writer writer) {
        this.writer = writer;
    }

    /**
     * Opens a file, creating it if it does not exist.
     *
     * @param file the file
     * @return the log
     * @throws IOException if the file cannot be written
     */
    public static StartLog open(Path file) throws IOException {
        return new StartLog(Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    }

    /**
     * Creates a log that keeps nothing.
     *
     * @return the log
     */
    public static StartLog none() {
        return new StartLog(Writer.nullWriter());
    }

    /**
     * Appends a start.
     *
     * @param epochMillis the time of the start, in ms since 1970
     * @param endpointId the endpoint that started the task
     * @param taskId the task's id
     * @param first true if this process had not started the task before
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
