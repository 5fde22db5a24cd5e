package org.knapweedmount.core.worker;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RunListCallsTest {
    private final RunListCalls calls = new RunListCalls();

    @Test
    void singleLostListDoesNotMakeTheWorkerUnresponsive() {
        assertThat(calls.lost(0), is(false));
        calls.answered(0);
        assertThat(calls.lost(0), is(false));

        assertThat(calls.unresponsive(), is(false));
    }

    @Test
    void thirdConsecutiveLostListMakesTheWorkerUnresponsiveOnce() {
        long lateNanos = WorkerTimings.nanos(300);
        calls.lost(0);
        calls.lost(0);

        assertThat(calls.lost(lateNanos), is(true));
        assertThat(calls.lost(lateNanos), is(false));
        assertThat(calls.unresponsive(), is(true));
    }

    @Test
    void listsLostInQuickSuccessionDoNotMakeTheWorkerUnresponsive() {
        calls.lost(0);
        calls.lost(0);

        assertThat(calls.lost(WorkerTimings.nanos(100)), is(false));
    }

    @Test
    void endOfAnotherCallLeavesTheTrackedOneInFlight() {
        calls.sent(5);

        calls.ended(3);
        assertThat(calls.inFlight(), is(true));
        calls.ended(5);
        assertThat(calls.inFlight(), is(false));
    }

    @Test
    void workerWaitsLessWhileAnswersAreLost() {
        assertThat(calls.waitMillis(0), is(100));
        calls.lost(0);
        assertThat(calls.waitMillis(0), is(0));
        calls.answered(0);
        assertThat(calls.waitMillis(WorkerTimings.nanos(1_000)), is(20));
        assertThat(calls.waitMillis(WorkerTimings.nanos(3_000)), is(100));
    }
}
