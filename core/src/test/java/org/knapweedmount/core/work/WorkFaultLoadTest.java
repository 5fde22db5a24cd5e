package org.knapweedmount.core.work;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedmount.api.work.WorkQueue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Submits a typical load to eleven workers of 18 cores while some of them are faulty. */
class WorkFaultLoadTest {
    /** The fraction of jobs that has to complete on time while faults affect a tenth of the capacity or less. */
    private static final double MIN_ON_TIME_FRACTION = 0.9;

    private static final double MIN_LOOKUPS_ON_TIME_FRACTION = 0.75;

    private final WorkFleet fleet = WorkFleet.of(7, 3, 11, 18_000);
    private final LoadGenerator load = new LoadGenerator(fleet);

    private static Stream<WorkQueue> queues() {
        return Stream.of(WorkFleet.LOOKUPS, WorkFleet.HOLDS, WorkFleet.MATCHES);
    }

    private void run(double millis) {
        load.sendTypicalLoad(fleet.time().nowMillis() + millis);
        fleet.time().run(millis + 4_000);
    }

    @Test
    void jobsMeetTheirTargetWhileOneCallInTwentyIsUnanswered() {
        fleet.workers().forEach(worker -> worker.loseAnswers(0.05));

        run(6_000);

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(
                load.outcomes(WorkFleet.HOLDS).toString(),
                load.onTimeFraction(WorkFleet.HOLDS),
                greaterThan(MIN_ON_TIME_FRACTION));
        assertThat(
                load.outcomes(WorkFleet.MATCHES).toString(),
                load.onTimeFraction(WorkFleet.MATCHES),
                greaterThan(MIN_ON_TIME_FRACTION));
        // In a third of the lookups one of the eight starts is lost, and a lookup may wait 111 ms.
        assertThat(
                load.outcomes(WorkFleet.LOOKUPS).toString(),
                load.onTimeFraction(WorkFleet.LOOKUPS),
                greaterThan(MIN_LOOKUPS_ON_TIME_FRACTION));
    }

    @ParameterizedTest
    @MethodSource("queues")
    void jobsMeetTheirTargetWhileAWorkerIsSlow(WorkQueue queue) {
        List<FakeWorker> workers = fleet.workers();
        fleet.time().after(4_000, () -> workers.get(3).setSlowdown(6));
        fleet.time().after(10_000, () -> workers.get(3).setSlowdown(1));

        run(11_000);

        assertThat(load.outcomes(queue).toString(), load.onTimeFraction(queue), greaterThan(MIN_ON_TIME_FRACTION));
    }

    @Test
    void slowWorkerIsUsedAgainWhenItHasRecovered() {
        FakeWorker worker = fleet.workers().get(3);
        fleet.time().after(4_000, () -> worker.setSlowdown(6));
        fleet.time().after(7_000, () -> worker.setSlowdown(1));
        load.sendTypicalLoad(fleet.time().nowMillis() + 12_000.0);
        fleet.time().run(10_000);
        int before = worker.starts();

        fleet.time().run(2_000);

        // One of eleven workers gets about 30 starts per second at this load.
        assertThat(worker.starts() - before, greaterThan(30));
    }
}
