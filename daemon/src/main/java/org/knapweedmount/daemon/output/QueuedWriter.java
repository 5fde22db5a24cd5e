package org.knapweedmount.daemon.output;

import java.util.Map;

import org.tinylog.core.LogEntry;
import org.tinylog.writers.AbstractFormatPatternWriter;

/** The tinylog writer {@code queued}: formats an entry and puts it into the queue of {@link ProcessOutput}. */
public final class QueuedWriter extends AbstractFormatPatternWriter {
    /**
     * Creates a writer.
     *
     * @param properties the configuration of the writer
     */
    public QueuedWriter(Map<String, String> properties) {
        super(properties);
    }

    @Override
    public void write(LogEntry entry) {
        ProcessOutput.write(render(entry));
    }

    /** Does nothing, because a flush by tinylog may be called on any thread; see {@link ProcessOutput#flush}. */
    @Override
    public void flush() {
        // The queue has a thread that writes the lines without delay.
    }

    @Override
    public void close() {
        ProcessOutput.flush();
    }
}
