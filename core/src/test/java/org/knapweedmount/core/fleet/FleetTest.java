package org.knapweedmount.core.fleet;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedmount.api.Outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Checks the guarantees of entries and agents in randomised runs with faults. */
class FleetTest {
    /** System property for manual long runs: the number of additional seeds. */
    static final String RUNS_PROPERTY = "fleet.runs";

    private static final long FIRST_LONG_SEED = 1_000;

    @Test
    void withoutFaultsEverySubmissionIsComplete() {
        FleetRun run = FleetRun.of(1).withoutFaults().run();

        assertThat(run.violations(), is(empty()));
        assertThat(run.unanswered(), is(0));
        assertThat(run.count(Outcome.COMPLETE), is(run.submissions()));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18})
    void guaranteesHoldUnderFaults(long seed) {
        FleetRun run = FleetRun.of(seed).run();

        assertThat(run.violations(), is(empty()));
        assertThat(run.unanswered(), is(0));
        assertThat(run.count(Outcome.COMPLETE), is(greaterThan(run.submissions() / 3)));
    }

    @Test
    void noOutcomeIsUnknownWhenOnlyEntriesAreReplaced() {
        int settledAsNotRun = 0;
        for (long seed = 21; seed <= 24; seed++) {
            FleetRun run = FleetRun.of(seed).withOnly(Fault.ENTRY_REPLACED).run();

            assertThat("seed " + seed, run.violations(), is(empty()));
            assertThat("seed " + seed, run.reasons(Outcome.UNKNOWN), is(Map.of()));
            settledAsNotRun += run.count(Outcome.NOT_RUN);
        }
        assertThat("submissions that were settled", settledAsNotRun, is(greaterThan(0)));
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34})
    void plannedStopsOfAgentsFailNothing(long seed) {
        FleetRun run = FleetRun.of(seed).withOnly(Fault.AGENT_STOPPED).run();

        assertThat(run.violations(), is(empty()));
        assertThat(run.reasons(Outcome.FAILED), is(Map.of()));
        assertThat(run.reasons(Outcome.UNKNOWN), is(Map.of()));
    }

    @Test
    void guaranteesHoldInLongRuns() {
        int runs = Integer.getInteger(RUNS_PROPERTY, 0);
        for (long seed = FIRST_LONG_SEED; seed < FIRST_LONG_SEED + runs; seed++) {
            FleetRun run = FleetRun.of(seed).run();

            assertThat("seed " + seed, run.violations(), is(empty()));
            assertThat("seed " + seed, run.unanswered(), is(0));
        }
    }
}
