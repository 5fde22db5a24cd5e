package org.knapweedmount.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedmount.api.Outcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Checks the guarantees for resubmissions in other regions, whose entries have no permanent links. */
class RegionsTest {
    private static final int REGIONS = 2;
    private static final long FIRST_LONG_SEED = 3_000;
    private static final int SUBMISSIONS = 20;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long LINK_SETUP_MILLIS = 500;
    private static final long SETTLEMENT_MILLIS = 5_000;

    @Test
    void withoutFaultsResubmissionsInOtherRegionsAreAnsweredByTheIssuer() {
        FleetRun run = FleetRun.inRegions(71, REGIONS).withoutFaults().run();

        assertThat(run.violations(), is(empty()));
        assertThat(run.unanswered(), is(0));
        assertThat(run.reasons(Outcome.UNKNOWN).keySet(), everyItem(not(containsString("cannot be reached"))));
        assertThat(run.count(Outcome.COMPLETE), is(greaterThan(run.submissions() * 9 / 10)));
    }

    @ParameterizedTest
    @ValueSource(longs = {81, 82, 83, 84})
    void guaranteesHoldUnderFaults(long seed) {
        FleetRun run = FleetRun.inRegions(seed, REGIONS).run();

        assertThat(run.violations(), is(empty()));
        assertThat(run.unanswered(), is(0));
        assertThat(run.count(Outcome.COMPLETE), is(greaterThan(run.submissions() / 3)));
    }

    @ParameterizedTest
    @ValueSource(longs = {91, 92})
    void submissionsOfReplacedEntriesAreSettledByTheirRegion(long seed) {
        FleetRun run =
                FleetRun.inRegions(seed, REGIONS).withOnly(Fault.ENTRY_REPLACED).run();

        assertThat(run.violations(), is(empty()));
        assertThat(run.reasons(Outcome.UNKNOWN), is(Map.of()));
    }

    @Test
    void unusedIdsOfAReplacedEntryAreSettledAsNotRunFromAnotherRegion() {
        FakeFleet fleet = new FakeFleet(93, FleetSite.SMALL.sized(REGIONS, 4, 6));
        advance(fleet, LINK_SETUP_MILLIS);
        FakeEntry issuer = fleet.entries().get(0);
        FakeEntry remote = fleet.entries().get(1);
        assertThat(issuer.address().sharesRegionWith(remote.address()), is(false));
        Random random = new Random(93);
        List<Submission> submissions = IntStream.range(0, SUBMISSIONS)
                .mapToObj(number -> new Submission(number, issuer.issue(), random))
                .toList();
        advance(fleet, LINK_SETUP_MILLIS);
        fleet.replaceEntry(0);
        advance(fleet, LINK_SETUP_MILLIS);

        submissions.forEach(submission -> submission.send(remote, true, fleet.log()));
        advance(fleet, SETTLEMENT_MILLIS);

        assertThat(submissions.stream().allMatch(submission -> submission.ended(Outcome.NOT_RUN)), is(true));
    }

    @Test
    void guaranteesHoldInLongRuns() {
        int runs = Integer.getInteger(FleetTest.RUNS_PROPERTY, 0);
        for (long seed = FIRST_LONG_SEED; seed < FIRST_LONG_SEED + runs; seed++) {
            FleetRun run = FleetRun.inRegions(seed, REGIONS).run();

            assertThat("seed " + seed, run.violations(), is(empty()));
            assertThat("seed " + seed, run.unanswered(), is(0));
        }
    }

    private static void advance(FakeFleet fleet, long millis) {
        fleet.scheduler().runUntil(fleet.scheduler().nowNanos() + millis * NANOS_PER_MILLI);
    }

    @ParameterizedTest
    @ValueSource(longs = {101, 102})
    void partitionBetweenRegionsLeavesOnlyResubmissionsInOtherRegionsUnknown(long seed) {
        FleetRun run = FleetRun.inRegions(seed, REGIONS)
                .withOnly(Fault.REGIONS_PARTITIONED)
                .run();

        assertThat(run.violations(), is(empty()));
        assertThat(run.unanswered(), is(0));
        assertThat(run.reasons(Outcome.FAILED), is(Map.of()));
        assertThat(run.reasons(Outcome.UNKNOWN).keySet(), everyItem(containsString("the region of the entry")));
        assertThat(run.count(Outcome.COMPLETE), is(greaterThan(run.submissions() * 9 / 10)));
    }
}
