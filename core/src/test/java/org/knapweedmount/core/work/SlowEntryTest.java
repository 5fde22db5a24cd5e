package org.knapweedmount.core.work;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.work.WorkQueue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Lets one of five entries lack processor time, while callers use the others. */
class SlowEntryTest {
    private static final double ENTRY_CORES = 0.5;

    /** A tenth of what the entry needs for the messages of agents alone. */
    private static final double SLOW_CORES = 0.02;

    private static final double MIN_ON_TIME_FRACTION = 0.97;

    private final WorkFleet fleet = WorkFleet.of(3, 5, 24, 32_000);
    private final LoadGenerator load = new LoadGenerator(fleet);
    private final Incarnation slow = fleet.entries().get(4);

    private static double cores(Incarnation process) {
        return process.process().startsWith("agent") ? Double.POSITIVE_INFINITY : ENTRY_CORES;
    }

    private void serveBesideSlowEntry() {
        fleet.limitProcessors(SlowEntryTest::cores);
        load.callOnly(entry -> !entry.equals(slow));
        double startMillis = fleet.time().nowMillis();
        load.sendTypicalLoad(startMillis + 8_000);
        fleet.time().run(2_000);
        fleet.limitProcessor(slow, SLOW_CORES);
        fleet.time().run(4_000);
        fleet.limitProcessor(slow, ENTRY_CORES);
        fleet.time().run(8_000);
    }

    private void assertServed(WorkQueue queue) {
        assertThat(load.outcomes(queue).toString(), load.onTimeFraction(queue), greaterThan(MIN_ON_TIME_FRACTION));
    }

    // All entries waited with each request until the slow one had answered which jobs it held.
    @Test
    void jobsOfOtherEntriesDoNotWaitForAnEntryThatLacksProcessorTime() {
        serveBesideSlowEntry();

        assertThat(fleet.invariants().violations(), is(empty()));
        assertServed(WorkFleet.LOOKUPS);
        assertServed(WorkFleet.HOLDS);
        assertServed(WorkFleet.MATCHES);
    }
}
