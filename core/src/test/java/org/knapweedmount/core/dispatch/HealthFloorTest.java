package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.WorkerCondition;
import org.knapweedmount.api.message.WorkerCondition.Availability;
import org.knapweedmount.api.message.WorkerReport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/** Checks that a service is never emptied because its workers are closed for their health. */
class HealthFloorTest {
    private final List<String> log = new ArrayList<>();
    private final HealthFloor floor = new HealthFloor((event, detail) -> log.add(event + " " + detail));

    private static WorkerView worker(String name, Availability availability, long reportedMillis) {
        WorkerView view = new WorkerView(new Incarnation(name, 1), 0);
        report(view, availability, 0, reportedMillis);
        return view;
    }

    private static void report(WorkerView view, Availability availability, int coldMillis, long reportedMillis) {
        Resources capacity = new Resources(16_000, 65_536, 0);
        view.reportReceived(
                new WorkerReport(
                        1,
                        "service",
                        view.agent().process(),
                        List.of(),
                        capacity,
                        capacity,
                        availability == Availability.OPEN,
                        0,
                        0,
                        100,
                        true,
                        new WorkerCondition(availability, coldMillis, List.of())),
                DispatchFixture.millisToNanos(reportedMillis));
    }

    private static List<WorkerView> workers(int open, int unhealthy) {
        List<WorkerView> workers = new ArrayList<>();
        for (int i = 0; i < open; i++) {
            workers.add(worker("open" + i, Availability.OPEN, 0));
        }
        for (int i = 0; i < unhealthy; i++) {
            workers.add(worker("ill" + i, Availability.UNHEALTHY, i));
        }
        return workers;
    }

    private static List<String> usable(List<WorkerView> workers) {
        return workers.stream()
                .filter(WorkerView::acceptsStarts)
                .map(worker -> worker.agent().process())
                .toList();
    }

    @ParameterizedTest
    @CsvSource({"5, 0, 0", "3, 2, 0", "1, 1, 0", "2, 3, 1", "4, 6, 1", "23, 35, 6", "0, 1, 1", "0, 4, 2", "0, 0, 0"})
    void usesAsManyClosedWorkersAsBringTheServiceBackToHalf(int open, int unhealthy, int used) {
        List<WorkerView> workers = workers(open, unhealthy);
        floor.update("service", workers);

        assertThat(usable(workers), hasSize(open + used));
    }

    @Test
    void workerWithTheOldestFailureIsUsedFirst() {
        List<WorkerView> workers = workers(0, 2);
        floor.update("service", workers);
        assertThat(usable(workers), contains("ill0"));

        workers.get(0).runFailed(DispatchFixture.millisToNanos(50));
        floor.update("service", workers);

        assertThat(usable(workers), contains("ill1"));
    }

    @Test
    void workersThatLeaveCountNeitherAsIllNorAsUsable() {
        List<WorkerView> workers = workers(1, 1);
        workers.add(worker("leaving", Availability.CLOSED, 0));
        workers.add(worker("gone", Availability.CLOSED, 0));
        floor.update("service", workers);

        assertThat(usable(workers), contains("open0"));
    }

    @Test
    void closedWorkerIsNoLongerUsedOnceEnoughAreOpen() {
        List<WorkerView> workers = workers(2, 3);
        floor.update("service", workers);
        assertThat(usable(workers), hasSize(3));

        report(workers.get(4), Availability.OPEN, 0, 100);
        floor.update("service", workers);

        assertThat(usable(workers), contains("open0", "open1", "ill2"));
    }

    @Test
    void changeIsLoggedOnce() {
        List<WorkerView> workers = workers(2, 3);
        floor.update("service", workers);
        floor.update("service", workers);

        assertThat(log, contains("health-floor service=service used=1 open=2 unhealthy=3"));
    }

    @Test
    void unlinkedWorkerIsNotUsed() {
        List<WorkerView> workers = workers(0, 1);
        workers.get(0).unlink();
        floor.update("service", workers);

        assertThat(usable(workers), is(empty()));
    }

    private static Optional<String> choose(TrackedTask task, List<WorkerView> workers) {
        QueueShares shares = new JobTable().shares("service", 0);
        RunCosts costs = DispatchFixture.costs();
        DataLocality data = new DataLocality(workers, costs, shares, 1, 0);
        return Placement.choose(task, new FreeCapacities(workers, 0), shares, data, 1, 0)
                .map(worker -> worker.agent().process());
    }

    private static TrackedTask task() {
        TrackedTask task = DispatchFixture.job("job", 0, 100).tasks().get(0);
        return task;
    }

    @Test
    void openWorkerIsPreferredToAClosedOne() {
        List<WorkerView> workers = workers(1, 2);
        floor.update("service", workers);

        assertThat(choose(task(), workers), is(Optional.of("open0")));
    }

    /** Guards against jobs that fail because each attempt of a task is made on a closed worker. */
    @Test
    void lastAttemptOfATaskIsNotMadeOnAClosedWorker() {
        List<WorkerView> workers = workers(0, 2);
        floor.update("service", workers);
        TrackedTask task = task();
        assertThat(choose(task, workers), is(Optional.of("ill0")));
        task.recordFailure();
        assertThat(choose(task, workers), is(Optional.of("ill0")));
        task.recordFailure();

        assertThat(choose(task, workers), is(Optional.empty()));
    }

    @Test
    void coldWorkerCountsAsTwiceAsSlow() {
        WorkerView view = worker("cold", Availability.OPEN, 0);
        report(view, Availability.OPEN, 1_000, 100);

        long nowNanos = DispatchFixture.millisToNanos(100);
        assertThat(DispatchFixture.costs().durationMillis(100, 1, view, nowNanos), is(200.0));
        assertThat(view.wasColdAt(DispatchFixture.millisToNanos(1_099)), is(true));
        assertThat(view.wasColdAt(DispatchFixture.millisToNanos(1_100)), is(false));

        report(view, Availability.OPEN, 0, 1_200);
        long warmNanos = DispatchFixture.millisToNanos(1_200);
        assertThat(DispatchFixture.costs().durationMillis(100, 1, view, warmNanos), is(100.0));
    }
}
