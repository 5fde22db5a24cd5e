package org.knapweedmount.daemon.output;

import java.io.PrintStream;
import java.nio.charset.Charset;
import java.time.OffsetDateTime;
import java.time.ZoneId;
import java.time.temporal.ChronoUnit;

import org.tinylog.Logger;

/**
 * The standard output and standard error of this process. All lines go through one {@link LineQueue}, so that no thread
 * but its own waits for the reader.
 */
public final class ProcessOutput {
    private static final int MAX_LINES = 2_048; // several seconds of lines at the rates of a loaded process
    private static final int RESERVED_LINES = 256; // for lines that have no rate limit, such as those of a stop
    private static final int MAX_CHARS = 512 * 1024; // an agent has a heap of 32 MB

    /**
     * The time for queued lines to be written at an exit, in ms. It lies between the end of a planned stop and the time
     * at which the platform kills the process, 700 ms later, in which the process has to exit as well.
     */
    private static final int FLUSH_LIMIT_MILLIS = 200;

    private static final PrintStream OUT = System.out;
    private static final PrintStream ERR = System.err;
    private static final LineQueue LINES =
            new LineQueue(new LineQueue.Limits(MAX_LINES, RESERVED_LINES, MAX_CHARS), ProcessOutput::dropNotice);

    private ProcessOutput() {}

    /**
     * Sends what is printed to {@link System#out} and {@link System#err} through the queue, and logs exceptions that no
     * thread handles; called at the start of a program.
     */
    public static void install() {
        System.setOut(queuedStream(OUT));
        System.setErr(queuedStream(ERR));
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) -> Logger.error(failure, "event=uncaught-exception thread=\"{}\"", thread.getName()));
    }

    private static PrintStream queuedStream(PrintStream target) {
        return new PrintStream(new LineStream(line -> LINES.add(target, line)), true, Charset.defaultCharset());
    }

    private static String dropNotice(long count) {
        return OffsetDateTime.now(ZoneId.systemDefault()).truncatedTo(ChronoUnit.MILLIS) + " WARN "
                + ProcessOutput.class.getName() + ": event=output-lines-dropped count=" + count;
    }

    /**
     * Queues a line for standard output, or drops and counts it if the queue is full.
     *
     * @param line the line with its line end
     */
    static void write(String line) {
        LINES.add(OUT, line);
    }

    /**
     * Returns whether there is room for a rate-limited line.
     *
     * @return false if its source should drop and report it
     */
    public static boolean hasRoom() {
        return LINES.hasRoom();
    }

    /**
     * Counts the lines that were dropped because nobody read the output.
     *
     * @return the number of lines since the start, without those that {@link #hasRoom} kept out
     */
    public static long droppedLines() {
        return LINES.droppedLines();
    }

    /** Waits for a short time until the queued lines have been written. */
    public static void flush() {
        LINES.flush(FLUSH_LIMIT_MILLIS);
    }

    /**
     * Ends this process without shutdown hooks, after a short wait for the queued lines.
     *
     * @param code the exit code
     */
    public static void halt(int code) {
        flush();
        Runtime.getRuntime().halt(code);
    }
}
