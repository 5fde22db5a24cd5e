package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.work.WorkQueue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class QueueSharesTest {
    private static final Resources CAPACITY = new Resources(16_000, 65_536, 0);

    private static TrackedJob job(String id, String queueName, int tasks, int running) {
        WorkQueue queue = new WorkQueue(queueName, "h", "/q/", "service", 0, 3, 1.6, 60, 1_500, false);
        JobRequest request = new JobRequest(
                id,
                queue,
                "spec",
                List.of(DispatchFixture.step(tasks, 1_000, 300)),
                DispatchFixture.millisToNanos(60_000));
        TrackedJob job = new TrackedJob(request, 300, 0);
        for (int task = 0; task < running; task++) {
            job.tasks().get(task).markOrdered(new Incarnation("agent", 1));
        }
        return job;
    }

    private final TrackedJob large = job("l", "large", 10, 9);
    private final TrackedJob small = job("s", "small", 3, 1);
    private final QueueShares shares = DispatchFixture.shares(List.of(large, small), List.of());

    @Test
    void queueWithTheLeastRunningWorkComesFirst() {
        List<TrackedJob> order = JobOrder.sorted(List.of(large, small), shares, 0);

        assertThat(order, contains(small, large));
    }

    @Test
    void onlyTheQueueWithMoreThanItsShareLeavesHeadroom() {
        assertThat(shares.withHeadroom(large.tasks().get(9), CAPACITY).milliCores(), is(1_000 + 1_600));
        assertThat(shares.withHeadroom(small.tasks().get(2), CAPACITY).milliCores(), is(1_000));
    }

    @Test
    void singleQueueLeavesNoHeadroom() {
        QueueShares alone = DispatchFixture.shares(List.of(large), List.of("large"));

        assertThat(alone.withHeadroom(large.tasks().get(9), CAPACITY).milliCores(), is(1_000));
    }

    @Test
    void shareIsAtLeastEqualAndAtLeastTheCurrentOne() {
        assertThat(shares.share("small"), closeTo(0.5, 0.001));
        assertThat(shares.share("large"), closeTo(0.9, 0.001));
        assertThat(shares.share("newcomer"), closeTo(1.0 / 3, 0.001));
    }
}
