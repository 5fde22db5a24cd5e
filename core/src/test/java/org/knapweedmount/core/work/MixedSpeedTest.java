package org.knapweedmount.core.work;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.WorkQueue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;

/**
 * Replays a load on twelve workers of which two thirds have speed 0.7 and one third has speed 1.7, at 71% of what they can do
 * together, with a burst of long matches to 82%.
 *
 * <p>Guards against placement that ignores the speed of workers, and against estimates of speeds and of run times that drive
 * each other apart, after which jobs are refused or miss their targets.
 */
class MixedSpeedTest {
    private static final double MIN_ON_TIME_FRACTION = 0.95;
    private static final int ID_LENGTH = 16;

    /** The bound of the mean response of matches, in ms; 1,762 when the speed of workers is ignored. */
    private static final double MAX_MATCH_MILLIS = 1_650;

    private static final double SLOW = 1 / 0.7;
    private static final double FAST = 1 / 1.7;

    private final WorkFleet fleet = WorkFleet.of(17, 3, 12, 18_000);
    private final LoadGenerator load = new LoadGenerator(fleet);

    /** Returns the declared run time, which does not depend on what entries have learnt. */
    private double declaredMillis(RunRequest request) {
        return load.runMillis().get(request.ref().task().substring(0, ID_LENGTH));
    }

    private void replay() {
        double start = fleet.time().nowMillis();
        for (int worker = 0; worker < fleet.workers().size(); worker++) {
            fleet.workers().get(worker).setRunMillis(this::declaredMillis);
            fleet.workers().get(worker).setSlowdown(worker % 3 == 2 ? FAST : SLOW);
        }
        double end = start + 24_000;
        load.send(WorkFleet.LOOKUPS, 30, 8, LoadGenerator.LOOKUP_MILLIS, end);
        load.send(WorkFleet.HOLDS, 88, 2, LoadGenerator.HOLD_MILLIS, end);
        load.send(WorkFleet.MATCHES, 5.5, 4, LoadGenerator.MATCH_MILLIS, end);
        fleet.time()
                .after(10_000, () -> load.send(WorkFleet.MATCHES, 3, 4, LoadGenerator.MATCH_MILLIS, start + 15_000));
        fleet.time().run(30_000);
    }

    private void assertOnTime(WorkQueue queue) {
        assertThat(load.outcomes(queue).toString(), load.onTimeFraction(queue), greaterThan(MIN_ON_TIME_FRACTION));
    }

    private double meanMatchMillis() {
        return fleet.results().keySet().stream()
                .filter(job -> load.runMillis().get(job) == LoadGenerator.MATCH_MILLIS)
                .mapToLong(fleet::responseMillis)
                .average()
                .orElseThrow();
    }

    @Test
    void jobsOfAllKindsMeetTheirTargetsOnWorkersOfDifferentSpeeds() {
        replay();

        assertOnTime(WorkFleet.LOOKUPS);
        assertOnTime(WorkFleet.HOLDS);
        assertOnTime(WorkFleet.MATCHES);
    }

    @Test
    void longTasksRunOnTheFastWorkers() {
        replay();

        assertThat(meanMatchMillis(), lessThan(MAX_MATCH_MILLIS));
    }
}
