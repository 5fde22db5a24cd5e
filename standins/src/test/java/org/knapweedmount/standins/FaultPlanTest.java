package org.knapweedmount.standins;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.not;

/** Checks that the faults injected by {@code bin/fault-campaign} are determined by its seed. */
class FaultPlanTest {
    private static final String PROCESS = "(entry|agent)-[0-9]";
    private static final String FAULT = "((kill|freeze|replace) " + PROCESS + "|store (down|silent|lose-answers)|cut "
            + PROCESS + " entry-[0-9]|stall entry-[0-9]) [1-3]\\.[0-9]";
    private static final int FAULTS = 100;

    @Test
    void theSeedDeterminesTheFaults() throws Exception {
        List<String> faults = plan(7);
        assertThat(faults, hasSize(FAULTS));
        assertThat(faults, everyItem(matchesPattern(FAULT)));
        assertThat(plan(7), is(faults));
        assertThat(plan(8), is(not(faults)));
    }

    private static List<String> plan(int seed) throws IOException, InterruptedException {
        Path script = Path.of("..", "bin", "fault-campaign");
        Process process = new ProcessBuilder("bash", script.toString(), Integer.toString(seed), "plan")
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(output, process.waitFor(), is(0));
        return output.lines().toList();
    }
}
