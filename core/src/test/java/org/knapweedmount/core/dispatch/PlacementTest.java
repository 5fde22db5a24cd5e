package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class PlacementTest {
    private static String choose(TrackedJob job, long nowMillis, WorkerView... workers) {
        QueueShares shares = QueueShares.of(List.of(job), "service", List.of());
        return Placement.choose(
                        job.tasks().get(0),
                        new FreeCapacities(List.of(workers), DispatchFixture.millisToNanos(nowMillis)),
                        shares,
                        DispatchFixture.millisToNanos(nowMillis))
                .map(worker -> worker.agent().process())
                .orElse("none");
    }

    @Test
    void workerWithTheMostFreeCapacityIsChosen() {
        WorkerView full = DispatchFixture.worker("full", 2_000, 1);
        WorkerView empty = DispatchFixture.worker("empty", 16_000, 1);

        assertThat(choose(DispatchFixture.job("j", 0, 86), 0, full, empty), is("empty"));
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
}
