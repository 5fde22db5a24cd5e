package org.knapweedmount.core.work;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedmount.api.Incarnation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/** Kills all entries and agents at once while the workers go on, as when all machines of a site lose power. */
class ServiceAfterRestartTest {
    /** The fraction of all requests that has to be served once the processes have been back for a while. */
    private static final double MIN_SERVED_FRACTION = 0.25;

    /** How long the processes may take until they serve again, in ms; the users allow 12 s, starts included. */
    private static final int MAX_RECOVERY_MILLIS = 4_000;

    private static final int REPLACEMENTS = 8;
    private static final int DOWN_MILLIS = 2_000;

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("seeds", 6));
    }

    private static void replaceWorkers(WorkFleet fleet) {
        for (FakeWorker worker : fleet.workers()) {
            for (int i = 0; i < REPLACEMENTS; i++) {
                fleet.time().after(1_000 * i + fleet.random().nextInt(1_000), worker::replaceWhileRunsGoOn);
            }
        }
    }

    private static void killAllProcesses(WorkFleet fleet) {
        List<FakeWorker> workers = new ArrayList<>();
        List<Incarnation> entries = fleet.entries();
        entries.forEach(fleet::killEntry);
        fleet.agents().forEach(agent -> workers.add(fleet.killAgent(agent)));
        entries.forEach(entry -> fleet.time().after(startDelayMillis(fleet), () -> fleet.startEntry(entry.process())));
        workers.forEach(worker -> fleet.time().after(startDelayMillis(fleet), () -> fleet.startAgent(worker)));
    }

    private static int startDelayMillis(WorkFleet fleet) {
        return DOWN_MILLIS + fleet.random().nextInt(300);
    }

    private static LoadGenerator load(WorkFleet fleet, int millis) {
        LoadGenerator load = new LoadGenerator(fleet);
        load.sendTypicalLoad(fleet.time().nowMillis() + (double) millis);
        fleet.time().run(millis);
        return load;
    }

    /** The token that an agent has kept from one worker to the next locked out its successor. */
    @ParameterizedTest
    @MethodSource("seeds")
    void requestsAreServedAfterAllProcessesOfReplacedWorkersHaveRestarted(long seed) {
        WorkFleet fleet = WorkFleet.of(seed, 3, 11, 18_000);
        replaceWorkers(fleet);
        LoadGenerator before = load(fleet, 1_000 * REPLACEMENTS + 2_000);
        killAllProcesses(fleet);
        fleet.time().run(DOWN_MILLIS + MAX_RECOVERY_MILLIS);

        LoadGenerator after = load(fleet, 3_000);
        fleet.time().run(3_000);

        assertThat("before", before.completedFraction(), greaterThanOrEqualTo(MIN_SERVED_FRACTION));
        assertThat(
                "after: " + after.outcomes(WorkFleet.HOLDS),
                after.completedFraction(),
                greaterThanOrEqualTo(MIN_SERVED_FRACTION));
        assertThat(fleet.invariants().violations(), is(empty()));
    }
}
