package org.knapweedmount.standins.soak;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class WorkerLifeTest {
    private static final String JOB = "00000000000000a1";
    private static final String TASK = JOB + ".0.0.0";
    private static final TaskSpec SPEC = new TaskSpec(500, 1_000);

    private final RunHistory history = new RunHistory();
    private final WorkerLife life = new WorkerLife("i-1", 1, 0, 0, 1, history);

    private WorkerLife.StartResult start(String task, int run, long untilMillis, long fence, long nowMillis) {
        life.advance(nowMillis);
        return life.start(task, run, SPEC, untilMillis, fence, 1, nowMillis);
    }

    private List<RunEnd> ends() {
        return life.ends().stream().map(WorkerLife.End::how).toList();
    }

    @Test
    void runEndsDone() {
        assertThat(start(TASK, 1, 900, 1, 0), is(WorkerLife.StartResult.STARTED));
        assertThat(start(TASK, 1, 900, 1, 10), is(WorkerLife.StartResult.STARTED));
        life.advance(500);
        assertThat(ends(), is(List.of(RunEnd.DONE)));
    }

    @Test
    void leaseOfAllRunsIsNeverShortened() {
        start(TASK, 1, 400, 1, 0);
        life.hold(300, 0, 1, 10);
        life.advance(399);
        assertThat(life.runs(), hasSize(1));
        life.advance(400);
        assertThat(ends(), is(List.of(RunEnd.LAPSED)));
    }

    @Test
    void leaseIsLimitedAndMeasuredOnTheWorkersClock() {
        WorkerLife slow = new WorkerLife("i-1", 1, 100, 0, 0.5, history);
        slow.start(TASK, 1, new TaskSpec(10_000, 1_000), 90_000, 1, 1, 100);
        slow.advance(2_099);
        assertThat(slow.runs(), hasSize(1));
        slow.advance(2_100);
        assertThat(slow.runs(), empty());
    }

    /** A lease that is counted from the start of the worker would last for hours if its clock begins there. */
    @Test
    void leaseIsMeasuredFromWhereTheClockBegins() {
        WorkerLife late = new WorkerLife("i-1", 1, 100, 9_000_000, 0.5, history);
        assertThat(late.clockMillis(100), is(9_000_000L));
        TaskSpec spec = new TaskSpec(10_000, 1_000);
        assertThat(late.start(TASK, 1, spec, 9_000_000, 1, 1, 100), is(WorkerLife.StartResult.LATE));
        assertThat(late.start(TASK, 1, spec, 9_000_400, 1, 1, 100), is(WorkerLife.StartResult.STARTED));
        late.advance(899);
        assertThat(late.runs(), hasSize(1));
        late.advance(900);
        assertThat(late.ends().stream().map(WorkerLife.End::how).toList(), is(List.of(RunEnd.LAPSED)));
    }

    @Test
    void stoppedRunIsRejectedLater() {
        life.stop(TASK, 2, 1, 50, 0);
        assertThat(start(TASK, 2, 900, 1, 10), is(WorkerLife.StartResult.OLD));
        assertThat(start(TASK, 3, 900, 1, 10), is(WorkerLife.StartResult.STARTED));
    }

    @Test
    void lowerFenceAndPastLeaseAreRejected() {
        life.hold(0, 0, 7, 0);
        assertThat(start(TASK, 1, 900, 6, 10), is(WorkerLife.StartResult.FENCE));
        assertThat(start(TASK, 1, 9, 7, 10), is(WorkerLife.StartResult.LATE));
    }

    /** An agent that could not reach the token of its predecessor never got an order through, and no rule was broken. */
    @Test
    void aWorkerThatRefusesAllCallsIsClosed() {
        life.hold(0, 0, 7, 10);
        assertThat(life.isClosedSince(10), is(false));
        life.hold(0, 0, 6, 20);
        assertThat(life.isClosedSince(11), is(true));
        life.hold(0, 0, 7, 30);
        assertThat(life.isClosedSince(11), is(false));
    }

    @Test
    void aWorkerThatRefusesAllCallsForLongBreaksARule() {
        life.hold(0, 0, 7, 0);
        life.hold(0, 0, 6, 10);
        life.hold(0, 0, 6, 12_010);
        assertThat(history.violations(), empty());
        life.hold(0, 0, 7, 12_011);
        life.hold(0, 0, 6, 12_012);
        assertThat(history.violations(), empty());
        life.hold(0, 0, 6, 24_013);
        life.hold(0, 0, 6, 24_014);
        assertThat(history.violations().stream().map(Violation::rule).toList(), is(List.of(Violation.Rule.CLOSED)));
    }

    @Test
    void aWorkerThatBeginsAfterATimeWasNotClosedByThen() {
        WorkerLife later = new WorkerLife("i-1", 1, 100, 0, 1, history);
        assertThat(later.isClosedSince(99), is(false));
        assertThat(later.isClosedSince(100), is(true));
    }

    @Test
    void acknowledgedEndsAreForgotten() {
        start(TASK, 1, 900, 1, 0);
        life.advance(500);
        life.hold(0, 1, 1, 510);
        assertThat(life.ends(), empty());
    }
}
