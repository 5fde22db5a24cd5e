package org.knapweedmount.core.worker;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ListCallsTest {
    private final ListCalls lists = new ListCalls();

    @Test
    void singleLostListDoesNotMakeTheWorkerSilent() {
        assertThat(lists.lost(0), is(false));
        lists.answered(0);
        assertThat(lists.lost(0), is(false));

        assertThat(lists.silent(), is(false));
    }

    @Test
    void thirdLostListInARowMakesTheWorkerSilentOnce() {
        long lateNanos = WorkerTimings.nanos(300);
        lists.lost(0);
        lists.lost(0);

        assertThat(lists.lost(lateNanos), is(true));
        assertThat(lists.lost(lateNanos), is(false));
        assertThat(lists.silent(), is(true));
    }

    @Test
    void listsThatASlowAgentMissesInQuickSuccessionDoNotMakeTheWorkerSilent() {
        lists.lost(0);
        lists.lost(0);

        assertThat(lists.lost(WorkerTimings.nanos(100)), is(false));
    }

    @Test
    void endOfAnotherCallLeavesTheTrackedOneUnderWay() {
        lists.sent(5);

        lists.ended(3);
        assertThat(lists.underWay(), is(true));
        lists.ended(5);
        assertThat(lists.underWay(), is(false));
    }

    @Test
    void workerWaitsLessWhileAnswersGetLost() {
        assertThat(lists.waitMillis(0), is(100));
        lists.lost(0);
        assertThat(lists.waitMillis(0), is(0));
        lists.answered(0);
        assertThat(lists.waitMillis(WorkerTimings.nanos(1_000)), is(20));
        assertThat(lists.waitMillis(WorkerTimings.nanos(3_000)), is(100));
    }
}
