package org.knapweedmount.core.work;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.WorkQueue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;

/**
 * Replays the bursts of a busy day, whose peak uses nearly all cores: eleven workers of 18 cores at 70% load, long
 * matches at 2.4 times their normal rate for five seconds, then lookups at 1.8 times theirs for three. Declared run
 * times are off by up to 40%, by the same factor for all tasks of a job, and the tasks of a job differ by up to 15%.
 */
class WorkBurstTest {
    /** The fraction of jobs of each kind that has to complete on time while the capacity suffices for all. */
    private static final double MIN_ON_TIME_FRACTION = 0.95;

    private static final int ID_LENGTH = 16;

    private final WorkFleet fleet = WorkFleet.of(11, 3, 11, 18_000);
    private final LoadGenerator load = new LoadGenerator(fleet);

    private double actualMillis(RunRequest request) {
        String job = request.ref().task().substring(0, ID_LENGTH);
        double taskFactor = 0.85 + 0.3 * hashFraction(request.ref().task().hashCode());
        return jobMillis(job) * taskFactor;
    }

    private double jobMillis(String job) {
        return load.runMillis().get(job) * (0.6 + 0.8 * hashFraction(job.hashCode()));
    }

    private static double hashFraction(int hash) {
        int mixed = hash * 0x9E3779B9;
        return Math.floorMod(mixed ^ mixed >>> 15, 1_000) / 1_000.0;
    }

    private void replay() {
        double start = fleet.time().nowMillis();
        load.setTargetRunMillis(this::jobMillis);
        fleet.workers().forEach(worker -> worker.setRunMillis(this::actualMillis));
        load.send(WorkFleet.LOOKUPS, 26, 8, LoadGenerator.LOOKUP_MILLIS, start + 16_000);
        load.send(WorkFleet.HOLDS, 77, 2, LoadGenerator.HOLD_MILLIS, start + 16_000);
        load.send(WorkFleet.MATCHES, 4.8, 4, LoadGenerator.MATCH_MILLIS, start + 16_000);
        fleet.time()
                .after(2_000, () -> load.send(WorkFleet.MATCHES, 6.7, 4, LoadGenerator.MATCH_MILLIS, start + 7_400));
        fleet.time()
                .after(12_000, () -> load.send(WorkFleet.LOOKUPS, 21, 8, LoadGenerator.LOOKUP_MILLIS, start + 15_500));
        fleet.time().run(20_000);
    }

    private void assertOnTime(WorkQueue queue) {
        assertThat(load.outcomes(queue).toString(), load.onTimeFraction(queue), greaterThan(MIN_ON_TIME_FRACTION));
    }

    @Test
    void shortJobsMeetTheirTargetInBurstsThatFit() {
        replay();

        assertOnTime(WorkFleet.LOOKUPS);
        assertOnTime(WorkFleet.HOLDS);
    }

    @Test
    void longJobsKeepTheirAimInBurstsThatFit() {
        replay();

        assertOnTime(WorkFleet.MATCHES);
    }
}
