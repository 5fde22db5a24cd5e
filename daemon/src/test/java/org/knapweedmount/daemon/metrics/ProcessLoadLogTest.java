package org.knapweedmount.daemon.metrics;

import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class ProcessLoadLogTest {
    // Without the types of messages and the processor time, nobody could tell what used up the time of a process.
    @Test
    void lineHasWhatWasUsedAndExchangedSinceTheLastOne() {
        ProcessLoadLog.Load earlier =
                new ProcessLoadLog.Load(100, Map.of("Heartbeat", 3L), Map.of("WorkerReport", 5L, "Hello", 1L));
        ProcessLoadLog.Load later = new ProcessLoadLog.Load(
                150, Map.of("Heartbeat", 4L, "RunOrder", 2L), Map.of("WorkerReport", 25L, "Hello", 1L));

        assertThat(
                later.describeSince(earlier),
                is("processor-millis=50 sent={Heartbeat=1, RunOrder=2} received={WorkerReport=20}"));
    }

    @Test
    void processorTimeIsReadAfterACommandWithSpacesAndParentheses() {
        String stat = "17 (a (b) c) S 1 17 17 0 -1 4194560 900 0 0 0 25 7 0 0 20 0 12 0 3456 100000 900";

        assertThat(ProcessorTime.millis(stat), is(320L));
    }

    @Test
    void processorTimeOfThisProcessIsKnown() {
        assertThat(ProcessorTime.millis(), greaterThan(0L));
    }
}
