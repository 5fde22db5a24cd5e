package org.knapweedmount.core.work;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedmount.core.worker.health.HealthCheck;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Submits a typical load to eleven workers of 18 cores while some of them fail runs, flap or leave. */
class WorkHealthLoadTest {
    /** The fraction of jobs that has to complete on time while one worker of eleven is affected. */
    private static final double MIN_ON_TIME_FRACTION = 0.9;

    private final WorkFleet fleet = WorkFleet.of(17, 3, 11, 18_000);
    private final LoadGenerator load = new LoadGenerator(fleet);

    private void flap(FakeWorker worker, int periodMillis, int untilMillis) {
        for (int millis = 0; millis < untilMillis; millis += periodMillis) {
            fleet.time().after(millis, () -> worker.setFailureRate(1));
            fleet.time().after(millis + periodMillis / 2.0, () -> worker.setFailureRate(0));
        }
    }

    private void assertOnTime() {
        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(
                load.outcomes(WorkFleet.HOLDS).toString(),
                load.onTimeFraction(WorkFleet.HOLDS),
                greaterThan(MIN_ON_TIME_FRACTION));
        assertThat(
                load.outcomes(WorkFleet.LOOKUPS).toString(),
                load.onTimeFraction(WorkFleet.LOOKUPS),
                greaterThan(MIN_ON_TIME_FRACTION));
    }

    @ParameterizedTest
    @ValueSource(ints = {800, 1_400})
    void jobsMeetTheirTargetWhileAWorkerFlaps(int periodMillis) {
        flap(fleet.workers().get(3), periodMillis, 8_000);

        load.sendTypicalLoad(fleet.time().nowMillis() + 8_000.0);
        fleet.time().run(12_000);

        assertOnTime();
    }

    /**
     * Guards against a service that is emptied, or that turns to its ill workers although others have capacity. The first
     * 1.5 s, in which each ill worker fails the runs that show it, do not count; whether the worker admits it does not matter.
     */
    @ParameterizedTest
    @EnumSource(names = {"HEALTHY", "UNHEALTHY", "UNANSWERED"})
    void jobsAreServedWhileThreeFifthsOfAllWorkersAreIll(HealthCheck claim) {
        for (FakeWorker worker : fleet.workers().subList(0, 7)) {
            worker.setFailureRate(1);
            worker.claimHealth(claim);
        }
        load.send(
                WorkFleet.HOLDS, 40, 2, LoadGenerator.HOLD_MILLIS, fleet.time().nowMillis() + 1_500.0);
        fleet.time().run(1_500);
        LoadGenerator later = new LoadGenerator(fleet);

        later.send(
                WorkFleet.HOLDS, 40, 2, LoadGenerator.HOLD_MILLIS, fleet.time().nowMillis() + 8_000.0);
        fleet.time().run(12_000);

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(
                later.outcomes(WorkFleet.HOLDS).toString(),
                later.onTimeFraction(WorkFleet.HOLDS),
                greaterThan(MIN_ON_TIME_FRACTION));
    }

    /** All workers fail for a while, as with tasks of a faulty release, and are used again without waiting for probes. */
    @Test
    void serviceIsBackWithinASecondAfterAllWorkersHaveFailed() {
        fleet.workers().forEach(worker -> worker.setFailureRate(1));
        fleet.time().after(3_000, () -> fleet.workers().forEach(worker -> worker.setFailureRate(0)));
        load.send(
                WorkFleet.HOLDS, 40, 2, LoadGenerator.HOLD_MILLIS, fleet.time().nowMillis() + 3_000.0);
        fleet.time().run(4_000);
        LoadGenerator later = new LoadGenerator(fleet);

        later.send(
                WorkFleet.HOLDS, 40, 2, LoadGenerator.HOLD_MILLIS, fleet.time().nowMillis() + 4_000.0);
        fleet.time().run(8_000);

        assertThat(
                later.outcomes(WorkFleet.HOLDS).toString(),
                later.onTimeFraction(WorkFleet.HOLDS),
                greaterThan(MIN_ON_TIME_FRACTION));
    }
}
