package org.knapweedmount.standins.load;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Writes a line of CSV for each request: flow, arrival time in µs, number of tasks, longest run time in µs, response
 * time in µs, outcome, submission ID.
 */
final class TraceLog implements Closeable {
    private static final String HEADER = "flow,arrivalMicros,tasks,runMicros,responseMicros,ending,submission\n";

    private final Writer writer;

    private TraceLog(Writer writer) {
        this.writer = writer;
    }

    static TraceLog open(Path file) throws IOException {
        return withWriter(Files.newBufferedWriter(file));
    }

    static TraceLog none() {
        return new TraceLog(Writer.nullWriter());
    }

    static TraceLog withWriter(Writer writer) throws IOException {
        writer.write(HEADER);
        return new TraceLog(writer);
    }

    void append(PlannedRequest request, long responseMicros, RequestResult result) {
        String line = String.format(
                Locale.ROOT,
                "%s,%d,%d,%d,%d,%s,%s%n",
                request.flow().name(),
                request.arrivalMicros(),
                request.tasks().size(),
                request.longestRunMicros(),
                responseMicros,
                result.outcome().text(),
                result.submission());
        try {
            writer.write(line);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        writer.close();
    }
}
