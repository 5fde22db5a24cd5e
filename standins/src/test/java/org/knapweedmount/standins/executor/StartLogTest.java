package org.knapweedmount.standins.executor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class StartLogTest {
    @TempDir
    private Path directory;

    @Test
    void appendsToWhatAnEarlierProcessWrote() throws IOException {
        Path file = directory.resolve("starts");
        try (StartLog log = StartLog.open(file)) {
            log.append(5, "desk-1", "entry-1~00000000000000ff.17.3#0", true);
        }
        try (StartLog log = StartLog.open(file)) {
            log.append(6, "desk-2", "entry-1~00000000000000ff.17.3#0", false);
        }
        assertThat(
                Files.readAllLines(file),
                contains(
                        "5 desk-1 entry-1~00000000000000ff.17.3#0 first",
                        "6 desk-2 entry-1~00000000000000ff.17.3#0 duplicate"));
    }

    @Test
    void aSecondStartIsADuplicate() {
        StartedTasks startedTasks = new StartedTasks();
        assertThat(startedTasks.add("a#0"), is(true));
        assertThat(startedTasks.add("a#1"), is(true));
        assertThat(startedTasks.add("a#0"), is(false));
    }
}
