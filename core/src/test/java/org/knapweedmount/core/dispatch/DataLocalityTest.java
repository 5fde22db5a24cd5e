package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.knapweedmount.core.evacuation.DataCentreAccess;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Replays, without a network, queues of which many tasks have their data on one rack. */
class DataLocalityTest {
    private static final int RUN_MILLIS = 200;
    private static final String RACK = "r1";

    private final List<WorkerView> workers = new ArrayList<>();
    private final DurationModel durations = new DurationModel();
    private RunCosts costs = new RunCosts(durations, new WorkerViews(new DataCentreAccess()), new DispatchSettings(3));

    /** Adds workers of 16 cores on the rack and elsewhere, with the free cores of each, in thousandths. */
    private void addWorkers(int near, int nearFree, int away, int awayFree) {
        IntStream.range(0, near)
                .forEach(worker -> workers.add(DispatchFixture.workerOnRack("near-" + worker, nearFree, RACK)));
        IntStream.range(0, away)
                .forEach(worker -> workers.add(DispatchFixture.workerOnRack("away-" + worker, awayFree, "r2")));
        costs.ordered(DispatchFixture.job("earlier", 0, RUN_MILLIS).tasks().get(0));
    }

    private List<String> place(List<TrackedJob> jobs, long nowMillis) {
        return place(jobs, List.of(), nowMillis);
    }

    /** Returns the first part of the names of the workers chosen for jobs of one task, "waits" for none. */
    private List<String> place(List<TrackedJob> jobs, List<String> recentQueues, long nowMillis) {
        long nowNanos = DispatchFixture.millisToNanos(nowMillis);
        QueueShares shares = DispatchFixture.shares(jobs, recentQueues);
        DataLocality data = new DataLocality(workers, costs, shares, 3, nowNanos);
        FreeCapacities free = new FreeCapacities(workers, nowNanos);
        List<String> chosen = new ArrayList<>();
        for (TrackedJob job : jobs) {
            TrackedTask task = job.tasks().get(0);
            Optional<WorkerView> worker = Placement.choose(task, free, shares, data, 3, nowNanos);
            worker.ifPresent(view -> {
                free.take(view, task.step().need());
                data.placed(task, view);
                view.orderedTasks().put(task.name(), task);
            });
            chosen.add(
                    worker.map(view -> view.agent().process().substring(0, 4)).orElse("waits"));
        }
        return chosen;
    }

    private static List<TrackedJob> jobs(int count, int runMillis) {
        return IntStream.range(0, count)
                .mapToObj(job -> DispatchFixture.jobWithData("job-" + job, RACK, runMillis))
                .toList();
    }

    @Test
    void nearWorkerWithCapacityIsChosen() {
        addWorkers(1, 2_000, 1, 16_000);

        assertThat(place(jobs(1, RUN_MILLIS), 0), is(List.of("near")));
    }

    /** Guards against a remote run of three times the length while a near worker has capacity in some ms. */
    @Test
    void taskWaitsIfARunNearItsDataIsExpectedToEndSooner() {
        addWorkers(8, 900, 4, 16_000);

        assertThat(place(jobs(1, RUN_MILLIS), 0), is(List.of("waits")));
    }

    /** Guards against waiting on an estimate that has proved too low for longer than a remote run would have lost. */
    @Test
    void taskThatHasWaitedAsLongAsARemoteRunLosesIsPlacedAway() {
        addWorkers(8, 900, 4, 16_000);
        List<TrackedJob> jobs = jobs(1, RUN_MILLIS);
        place(jobs, 0);

        assertThat(place(jobs, 2 * RUN_MILLIS), is(List.of("away")));
    }

    /** Guards against a wait in which the last chance passes to meet the target by a remote run. */
    @Test
    void taskDoesNotWaitBeyondATargetThatARemoteRunMeets() {
        costs = new RunCosts(durations, new WorkerViews(new DataCentreAccess()), new DispatchSettings(1.5));
        addWorkers(8, 900, 4, 16_000);
        List<TrackedJob> jobs = jobs(1, 1_000);

        assertThat(place(jobs, 100), is(List.of("waits")));
        assertThat(place(jobs, 155), is(List.of("away"))); // the target is at 1,660 ms, a remote run takes 1,500 ms
    }

    /** Guards against a rack that a whole queue waits for while the rest of the service is idle. */
    @Test
    void restOfTheServiceTakesTheOverflow() {
        addWorkers(2, 900, 8, 16_000);

        List<String> chosen = place(jobs(60, RUN_MILLIS), 0);

        long waiting = chosen.stream().filter("waits"::equals).count();
        assertThat(chosen.toString(), waiting, is(greaterThan(0L)));
        assertThat(chosen.toString(), waiting, is(lessThan(30L)));
        assertThat(chosen.get(59), is("away"));
    }

    /** Guards against a rack on which no short job of another queue can start. */
    @Test
    void queueWithMostOfARackLeavesCoresThereFree() {
        addWorkers(1, 16_000, 4, 16_000);

        List<String> chosen = place(jobs(30, RUN_MILLIS), List.of("other"), 0);

        assertThat(chosen.toString(), chosen.stream().filter("near"::equals).count(), is(14L));
    }

    /** Guards against a changed placement at a site whose settings say nothing about data. */
    @Test
    void withoutAFactorARemoteWorkerIsChosenAtOnce() {
        costs = new RunCosts(durations, new WorkerViews(new DataCentreAccess()), DispatchSettings.DEFAULT);
        addWorkers(8, 900, 4, 16_000);

        assertThat(place(jobs(1, RUN_MILLIS), 0), is(List.of("away")));
    }
}
