package org.knapweedmount.standins.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

class SoakProcessTest {
    private static final int GRACE_MILLIS = 60_000;
    private static final int READY_CHECK_MILLIS = 10;

    /** A program that needs some time to end after SIGTERM. */
    private static final List<String> PROGRAM =
            List.of("sh", "-c", "trap 'sleep 0.5; exit' TERM; echo ready; while :; do sleep 0.05; done");

    @TempDir
    Path directory;

    private SoakProcess process;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        Path log = directory.resolve("log");
        process = new SoakProcess("program", PROGRAM, directory, directory.resolve("settings"), log, () -> {});
        process.start();
        while (Files.size(log) == 0) {
            TimeUnit.MILLISECONDS.sleep(READY_CHECK_MILLIS);
        }
    }

    @AfterEach
    void close() throws InterruptedException {
        process.close();
    }

    /** A process that was in its planned stop when the faults ended was taken for healthy, and did not run any more. */
    @Test
    void aProcessThatIsStoppingWhenTheFaultsEndIsStartedAgain() throws IOException, InterruptedException {
        long id = process.id().orElseThrow();
        Thread.currentThread().interrupt();
        assertThrows(InterruptedException.class, () -> process.stop(GRACE_MILLIS));

        process.heal(GRACE_MILLIS);

        assertThat(process.id().orElseThrow(), is(not(id)));
    }

    @Test
    void aProcessThatRunsIsNotStartedAgain() throws IOException, InterruptedException {
        long id = process.id().orElseThrow();

        process.heal(GRACE_MILLIS);

        assertThat(process.id().orElseThrow(), is(id));
    }
}
