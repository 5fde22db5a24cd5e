package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class JobOrderTest {
    private static List<String> order(long nowMillis, TrackedJob... jobs) {
        QueueShares shares = DispatchFixture.shares(List.of(jobs), List.of());
        return JobOrder.sorted(List.of(jobs), shares, DispatchFixture.millisToNanos(nowMillis)).stream()
                .map(TrackedJob::id)
                .toList();
    }

    @Test
    void shortJobPrecedesABurstOfLongOnes() {
        TrackedJob longJob1 = DispatchFixture.job("long-1", 0, 1_286);
        TrackedJob longJob2 = DispatchFixture.job("long-2", 10, 1_286);
        TrackedJob lookup = DispatchFixture.job("short", 50, 86);

        assertThat(order(50, longJob1, longJob2, lookup), contains("short", "long-1", "long-2"));
    }

    @Test
    void waitingLongJobPrecedesANewShortOne() {
        TrackedJob waiting = DispatchFixture.job("long", 0, 1_286);
        TrackedJob lookup = DispatchFixture.job("short", 800, 86);

        assertThat(order(800, lookup, waiting), contains("long", "short"));
    }

    @Test
    void lateJobFollowsJobsThatCanMeetTheirTarget() {
        TrackedJob late = DispatchFixture.job("late", 0, 86);
        TrackedJob long1 = DispatchFixture.job("long", 0, 1_286);

        assertThat(order(300, late, long1), contains("long", "late"));
    }

    @Test
    void startedJobPrecedesOthersEvenIfLate() {
        TrackedJob started = DispatchFixture.job("started", 0, 86);
        started.runOrdered();
        TrackedJob long1 = DispatchFixture.job("long", 0, 1_286);

        assertThat(order(300, long1, started), contains("started", "long"));
    }

    @Test
    void jobExpiresAtThreeTimesItsTarget() {
        TrackedJob job = DispatchFixture.job("j", 0, 100); // target 220 ms, expires after 660 ms

        assertThat(JobOrder.canMeetTarget(job, DispatchFixture.millisToNanos(120)), is(true));
        assertThat(JobOrder.canMeetTarget(job, DispatchFixture.millisToNanos(121)), is(false));
        assertThat(JobOrder.canFinishBeforeExpiry(job, DispatchFixture.millisToNanos(560)), is(true));
        assertThat(JobOrder.canFinishBeforeExpiry(job, DispatchFixture.millisToNanos(561)), is(false));
    }
}
