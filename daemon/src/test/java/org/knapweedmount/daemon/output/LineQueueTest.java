package org.knapweedmount.daemon.output;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/** Guards against a thread that waits for the reader of the output, and against drops that nobody learns of. */
@Timeout(60)
class LineQueueTest {
    private static final int LONG_MILLIS = 50_000;

    /** An output whose first write waits until it is read. */
    private static final class PausedOutput extends OutputStream {
        private final CountDownLatch writing = new CountDownLatch(1);
        private final CountDownLatch read = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        @Override
        public synchronized void write(int value) {
            writing.countDown();
            try {
                read.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            bytes.write(value);
        }

        private synchronized String text() {
            return bytes.toString(StandardCharsets.UTF_8);
        }
    }

    private final PausedOutput output = new PausedOutput();
    private final PrintStream target = new PrintStream(output, false, StandardCharsets.UTF_8);

    /** Creates a queue whose thread is blocked in the write of a first line. */
    private LineQueue blockedQueue(int lines, int reservedLines, int chars) throws InterruptedException {
        LineQueue queue = new LineQueue(new LineQueue.Limits(lines, reservedLines, chars), count -> "dropped=" + count);
        queue.add(target, "first\n");
        output.writing.await();
        return queue;
    }

    @Test
    void linesBeyondTheBoundAreDroppedAndReportedOnceTheReaderIsBack() throws InterruptedException {
        LineQueue queue = blockedQueue(2, 0, 1_000);
        for (int line = 0; line < 5; line++) {
            queue.add(target, "line=" + line + "\n");
        }
        boolean writtenWhileBlocked = queue.flush(1);

        output.read.countDown();

        assertThat(writtenWhileBlocked, is(false));
        assertThat(queue.flush(LONG_MILLIS), is(true));
        assertThat(output.text().lines().toList(), contains("first", "line=0", "line=1", "dropped=3"));
        assertThat(queue.droppedLines(), is(3L));
    }

    @Test
    void longLinesAreBoundedByTheirLength() throws InterruptedException {
        LineQueue queue = blockedQueue(100, 0, 16);

        queue.add(target, "0123456789\n");
        queue.add(target, "\n");

        assertThat(queue.droppedLines(), is(1L));
        output.read.countDown();
        assertThat(queue.flush(LONG_MILLIS), is(true));
        assertThat(output.text(), is("first\n\ndropped=1" + System.lineSeparator()));
    }

    /** Lines of decisions took the room of the few lines that tell of a stop. */
    @Test
    void rateLimitedLinesLeaveRoomForOthers() throws InterruptedException {
        LineQueue queue = blockedQueue(3, 2, 1_000);
        List<Boolean> room = new ArrayList<>();
        for (int line = 0; line < 3; line++) {
            room.add(queue.hasRoom());
            queue.add(target, "line\n");
        }

        assertThat(room, contains(true, false, false));
        assertThat(queue.droppedLines(), is(0L));
        output.read.countDown();
    }

    @Test
    void printedBytesAreDividedIntoLines() {
        List<String> lines = new ArrayList<>();
        PrintStream stream = new PrintStream(new LineStream(lines::add), true, StandardCharsets.UTF_8);

        stream.print("a");
        stream.print("b\nc");
        stream.print("\n");

        assertThat(lines, contains("ab\n", "c\n"));
    }
}
