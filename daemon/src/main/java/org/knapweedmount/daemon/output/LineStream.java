package org.knapweedmount.daemon.output;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.Charset;
import java.util.function.Consumer;

/** Divides bytes into lines; a line beyond the maximum length is divided. Never blocks. */
final class LineStream extends OutputStream {
    private static final int MAX_LINE_BYTES = 8_192;

    private final Consumer<String> lines;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /**
     * Creates a stream.
     *
     * @param lines receives the lines, with their line ends
     */
    LineStream(Consumer<String> lines) {
        this.lines = lines;
    }

    @Override
    public synchronized void write(int value) {
        line.write(value);
        if (value == '\n' || line.size() >= MAX_LINE_BYTES) {
            lines.accept(line.toString(Charset.defaultCharset()));
            line.reset();
        }
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
        for (int i = offset; i < offset + length; i++) {
            write(bytes[i]);
        }
    }
}
