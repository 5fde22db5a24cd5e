package org.knapweedmount.core.work;

import org.junit.jupiter.api.Test;
import org.knapweedmount.core.dispatch.JobResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Simulates an overload: eleven workers of 16 cores and three entries, lookups and holds at 45% of the cores, and for
 * five seconds so many long matches that all jobs together demand 1.8 times the cores.
 */
class WorkOverloadTest {
    /** The fraction of the short jobs that has to complete on time during the overload; users weigh this most. */
    private static final double MIN_ON_TIME_FRACTION = 0.9;

    private final WorkFleet fleet = WorkFleet.of(5, 3, 11, 16_000);
    private final LoadGenerator load = new LoadGenerator(fleet);

    private void overload() {
        double start = fleet.time().nowMillis();
        load.send(WorkFleet.LOOKUPS, 24, 8, LoadGenerator.LOOKUP_MILLIS, start + 8_000);
        load.send(WorkFleet.HOLDS, 60, 2, LoadGenerator.HOLD_MILLIS, start + 8_000);
        fleet.time().run(1_500);
        load.send(WorkFleet.MATCHES, 29, 4, LoadGenerator.MATCH_MILLIS, start + 6_500);
        fleet.time().run(14_000);
    }

    @Test
    void shortJobsMeetTheirTargetUnderABurstOfLongOnes() {
        overload();

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(
                load.outcomes(WorkFleet.LOOKUPS).toString(),
                load.onTimeFraction(WorkFleet.LOOKUPS),
                greaterThan(MIN_ON_TIME_FRACTION));
        assertThat(
                load.outcomes(WorkFleet.HOLDS).toString(),
                load.onTimeFraction(WorkFleet.HOLDS),
                greaterThan(MIN_ON_TIME_FRACTION));
    }

    @Test
    void burstUsesTheRemainingCapacityAndTheRestIsRefusedWithARetryTime() {
        overload();

        // 44% of the cores are left for matches, which demand 1.35 times all cores.
        assertThat(
                load.outcomes(WorkFleet.MATCHES).toString(), load.onTimeFraction(WorkFleet.MATCHES), greaterThan(0.25));
        fleet.results().values().stream()
                .filter(result -> result.kind() == JobResult.Kind.NOT_RUN)
                .forEach(result -> assertThat(result.retryAfterMillis(), greaterThan(0)));
    }

    @Test
    void unservedJobsAreAnsweredBeforeTheyExpire() {
        overload();

        for (String job : load.runMillis().keySet()) {
            if (fleet.results().get(job).kind() == JobResult.Kind.COMPLETED) {
                continue; // a completed job is answered even if it is late
            }
            long expiryMillis = (long) (3 * (1.6 * load.runMillis().get(job) + 60));
            assertThat(fleet.responseMillis(job), lessThanOrEqualTo(expiryMillis));
        }
    }
}
