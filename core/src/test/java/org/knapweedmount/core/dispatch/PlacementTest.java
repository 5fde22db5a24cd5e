package org.knapweedmount.core.dispatch;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.knapweedmount.core.evacuation.DataCentreAccess;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

class PlacementTest {
    private static final int AGENTS = 54;
    private static final WorkerViews VIEWS = new WorkerViews(new DataCentreAccess());

    private static String choose(TrackedJob job, long nowMillis, WorkerView... workers) {
        return choose(job, nowMillis, 1, workers);
    }

    private static String choose(TrackedJob job, long nowMillis, int entries, WorkerView... workers) {
        QueueShares shares = DispatchFixture.shares(List.of(job), List.of());
        return Placement.choose(
                        job.tasks().get(0),
                        new FreeCapacities(List.of(workers), DispatchFixture.millisToNanos(nowMillis)),
                        shares,
                        new DataLocality(
                                List.of(workers), costs(1), shares, entries, DispatchFixture.millisToNanos(nowMillis)),
                        entries,
                        DispatchFixture.millisToNanos(nowMillis))
                .map(worker -> worker.agent().process())
                .orElse("none");
    }

    private static RunCosts costs(double remoteDataFactor) {
        return new RunCosts(new DurationModel(), VIEWS, new DispatchSettings(remoteDataFactor));
    }

    @Test
    void workerWithTheMostFreeCapacityIsChosen() {
        WorkerView full = DispatchFixture.worker("full", 2_000, 1);
        WorkerView empty = DispatchFixture.worker("empty", 16_000, 1);

        assertThat(choose(DispatchFixture.job("j", 0, 86), 0, full, empty), is("empty"));
    }

    /** All entries chose the same few workers with the most free capacity, which refused most of the runs. */
    @Test
    void entriesThatDecideOnTheSameReportsChooseDifferentWorkers() {
        int entries = 9;
        WorkerView[] workers = IntStream.range(0, AGENTS)
                .mapToObj(agent -> DispatchFixture.worker("agent-" + agent, 8_000 + 100 * agent, 1))
                .toArray(WorkerView[]::new);

        long chosen = IntStream.range(0, entries)
                .mapToObj(entry -> choose(DispatchFixture.job("job-" + entry, 0, 86), 0, entries, workers))
                .distinct()
                .count();

        assertThat(chosen, is(greaterThan(entries / 2L)));
    }

    /** An entry ordered from workers whose reports were old while others told it of each change. */
    @Test
    void preferredWorkerIsChosenThoughAnotherHasMoreFreeCapacity() {
        WorkerView preferred = DispatchFixture.worker("preferred", 2_000, 1);
        WorkerView other = DispatchFixture.otherEntriesWorker("other", 16_000);

        assertThat(choose(DispatchFixture.job("j", 0, 86), 0, 9, preferred, other), is("preferred"));
    }

    @Test
    void anyWorkerIsChosenIfThePreferredOnesAreFull() {
        WorkerView preferred = DispatchFixture.worker("preferred", 900, 1);
        WorkerView other = DispatchFixture.otherEntriesWorker("other", 2_000);

        assertThat(choose(DispatchFixture.job("j", 0, 86), 0, 9, preferred, other), is("other"));
    }

    @Test
    void workerWithFreeCapacityIsFoundAmongManyFullOnes() {
        WorkerView[] workers = IntStream.range(0, AGENTS)
                .mapToObj(agent -> DispatchFixture.worker("agent-" + agent, agent == 7 ? 16_000 : 900, 1))
                .toArray(WorkerView[]::new);

        assertThat(choose(DispatchFixture.job("j", 0, 86), 0, 9, workers), is("agent-7"));
    }

    @Test
    void workerOnWhichTheTaskWouldMissItsTargetIsSkipped() {
        WorkerView slow = DispatchFixture.worker("slow", 16_000, 6);
        WorkerView normal = DispatchFixture.worker("normal", 2_000, 1);

        assertThat(choose(DispatchFixture.job("j", 0, 86), 0, slow, normal), is("normal"));
    }

    @Test
    void lateTaskMayRunOnAnyWorker() {
        WorkerView slow = DispatchFixture.worker("slow", 16_000, 6);

        assertThat(choose(DispatchFixture.job("j", 0, 86), 500, slow), is("slow"));
    }

    @Test
    void workerWithoutFreeCapacityIsNotChosen() {
        assertThat(choose(DispatchFixture.job("j", 0, 86), 0, DispatchFixture.worker("full", 900, 1)), is("none"));
    }

    /** Guards against leaving a worker idle on which a long task would end in less than half the time. */
    @Test
    void taskGoesToTheFastWorkerThoughAnotherHasMoreFreeCapacity() {
        WorkerView fast = DispatchFixture.lastingWorker("fast", 10_000, 0.41);
        WorkerView normal = DispatchFixture.worker("normal", 16_000, 1);

        assertThat(choose(DispatchFixture.job("j", 0, 1_286), 0, normal, fast), is("fast"));
    }

    /** Guards against placement by speed when hardly any capacity is free, which would leave small remainders unused. */
    @Test
    void mostFreeCapacityDecidesWhileLittleIsFree() {
        WorkerView fast = DispatchFixture.lastingWorker("fast", 1_000, 0.41);
        WorkerView normal = DispatchFixture.worker("normal", 2_000, 1);

        assertThat(choose(DispatchFixture.job("j", 0, 1_286), 0, normal, fast), is("normal"));
    }

    /** Guards against entries that all send long tasks to the same fast workers. */
    @Test
    void manyEntriesChooseDifferentFastWorkers() {
        int entries = 9;
        WorkerView[] workers = IntStream.range(0, AGENTS)
                .mapToObj(agent -> DispatchFixture.lastingWorker("agent-" + agent, 8_000, agent % 3 == 0 ? 0.41 : 1))
                .toArray(WorkerView[]::new);

        long chosen = IntStream.range(0, entries)
                .mapToObj(entry -> choose(DispatchFixture.job("job-" + entry, 0, 1_286), 0, entries, workers))
                .distinct()
                .count();

        assertThat(chosen, is(greaterThan(entries / 2L)));
    }

    /** Guards against a start on a worker that is slow for the whole run after its own start. */
    @Test
    void warmWorkerIsChosenThoughAColdOneHasMoreFreeCapacity() {
        WorkerView cold = DispatchFixture.coldWorker("cold", 16_000, 2_000);
        WorkerView warm = DispatchFixture.worker("warm", 4_000, 1);

        assertThat(choose(DispatchFixture.job("j", 0, 286), 0, cold, warm), is("warm"));
    }

    /** Guards against a service that waits until its target is missed because all its workers have just started. */
    @Test
    void coldWorkerIsChosenIfThereIsNoOther() {
        WorkerView cold = DispatchFixture.coldWorker("cold", 16_000, 2_000);

        assertThat(choose(DispatchFixture.job("j", 0, 286), 0, cold), is("cold"));
    }
}
