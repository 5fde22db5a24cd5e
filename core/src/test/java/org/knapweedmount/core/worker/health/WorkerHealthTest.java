package org.knapweedmount.core.worker.health;

import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Replays the load patterns that {@link WorkerHealth} is made for, with one run at a time of 20 ms. */
class WorkerHealthTest {
    private static final int RUN_MILLIS = 20;
    private static final int CHECK_MILLIS = 2;
    private static final int STEP_MILLIS = 10;

    private final WorkerHealth health = new WorkerHealth(true);
    private int failures;
    private int successes;
    private int checks;

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Sends runs and makes checks for a time, on a worker whose runs and checks go well at some times. */
    private void replay(long fromMillis, long untilMillis, LongPredicate runsWell, LongPredicate saysWell) {
        long millis = fromMillis;
        while (millis < untilMillis) {
            if (health.checkDue(0, nanos(millis))) {
                checks++;
                health.checkSent(nanos(millis));
                HealthCheck result = saysWell.test(millis) ? HealthCheck.HEALTHY : HealthCheck.UNHEALTHY;
                health.checked(result, nanos(millis + CHECK_MILLIS));
            } else if (health.admits(0, nanos(millis))) {
                finishRun(millis, runsWell.test(millis));
                millis += RUN_MILLIS;
                continue;
            }
            millis += STEP_MILLIS;
        }
    }

    private void finishRun(long orderedMillis, boolean good) {
        if (good) {
            successes++;
            health.runSucceeded(nanos(orderedMillis), nanos(orderedMillis + RUN_MILLIS));
        } else {
            failures++;
            health.runFailed(nanos(orderedMillis), nanos(orderedMillis + RUN_MILLIS));
        }
    }

    private void closeByFailures(long nowMillis) {
        for (int i = 0; i < 3; i++) {
            health.runFailed(nanos(nowMillis - RUN_MILLIS), nanos(nowMillis));
        }
        assertThat(health.closedReason().isPresent(), is(true));
    }

    @Test
    void healthyWorkerIsNeverChecked() {
        replay(0, 10_000, millis -> true, millis -> false);

        assertThat(checks, is(0));
        assertThat(failures, is(0));
    }

    /** Guards against a worker that attracts runs again each time that it is up for a moment. */
    @ParameterizedTest
    @ValueSource(ints = {800, 1_400})
    void flappingWorkerIsClosedForLongerEachTime(int periodMillis) {
        LongPredicate up = millis -> millis % periodMillis < periodMillis / 2;
        replay(0, 10_000, up, up);
        int early = failures;
        replay(10_000, 60_000, up, up);

        // Always open it would fail 1,250 runs in the second part.
        assertThat("failures at first", early, is(lessThanOrEqualTo(14)));
        assertThat("failures later", failures - early, is(lessThanOrEqualTo(30)));
    }

    @ParameterizedTest
    @ValueSource(ints = {800, 1_400})
    void workerThatHasCeasedToFlapIsFullyUsedWithinSixSeconds(int periodMillis) {
        LongPredicate up = millis -> millis % periodMillis < periodMillis / 2;
        replay(0, 20_000, up, up);
        replay(20_000, 26_000, millis -> true, millis -> true);
        successes = 0;
        replay(26_000, 27_000, millis -> true, millis -> true);

        assertThat(successes, is(1_000 / RUN_MILLIS));
    }

    @Test
    void workerThatSaysItIsWellAndFailsAllIsProbedRarelyAndSoonNoLongerChecked() {
        replay(0, 60_000, millis -> false, millis -> true);

        assertThat("runs lost to the worker", failures, is(lessThanOrEqualTo(20)));
        assertThat("checks of a worker that they say nothing about", checks, is(2));
    }

    @Test
    void workerThatSaysItIsIllAndIsWellIsUsedAgain() {
        closeByFailures(100);
        replay(100, 10_000, millis -> true, millis -> false);

        assertThat(health.closedReason().isPresent(), is(false));
        assertThat(successes, is(greaterThan(100)));
        assertThat(checks, is(3));
    }

    /** Guards against callers that lose a run for each probe although the worker says that it is ill. */
    @Test
    void workerThatSaysItIsIllAndIsIllCostsFewRuns() {
        replay(0, 60_000, millis -> false, millis -> false);

        assertThat("runs lost to the worker", failures, is(lessThanOrEqualTo(8)));
        assertThat(checks, is(lessThan(18)));
    }

    @Test
    void closedWorkerIsProbedOnlyAfterAHealthyCheck() {
        closeByFailures(100);

        assertThat(health.checkDue(0, nanos(599)), is(false));
        assertThat(health.checkDue(0, nanos(600)), is(true));
        assertThat(health.admits(0, nanos(600)), is(false));
        health.checkSent(nanos(600));
        assertThat(health.admits(0, nanos(601)), is(false));
        health.checked(HealthCheck.HEALTHY, nanos(602));

        assertThat(health.admits(0, nanos(602)), is(true));
        assertThat("one probe at a time", health.admits(1, nanos(603)), is(false));
    }

    @Test
    void unhealthyCheckKeepsTheWorkerClosed() {
        closeByFailures(100);
        health.checkSent(nanos(600));

        assertThat(health.checked(HealthCheck.UNHEALTHY, nanos(602)), is(WorkerHealth.Change.EXTENDED));
        assertThat(health.admits(0, nanos(1_601)), is(false));
    }

    @ParameterizedTest
    @ValueSource(strings = {"UNANSWERED", "UNSUPPORTED"})
    void checkWithoutEvidenceIsFollowedByAProbe(HealthCheck result) {
        closeByFailures(100);
        health.checkSent(nanos(600));
        health.checked(result, nanos(660));

        assertThat(health.admits(0, nanos(660)), is(true));
    }

    @Test
    void lostResultOfACheckDoesNotKeepTheWorkerClosed() {
        closeByFailures(100);
        health.checkSent(nanos(600));

        assertThat(health.admits(0, nanos(799)), is(false));
        assertThat(health.admits(0, nanos(800)), is(true));
    }

    @Test
    void workerWithoutAHealthCheckIsNotAskedAgain() {
        closeByFailures(100);
        health.checkSent(nanos(600));
        health.checked(HealthCheck.UNSUPPORTED, nanos(602));
        health.runFailed(nanos(603), nanos(610));

        assertThat(health.checkDue(0, nanos(60_000)), is(false));
        assertThat(health.admits(0, nanos(60_000)), is(true));
    }

    @Test
    void agentThatCannotCheckProbesAsBefore() {
        WorkerHealth unchecked = new WorkerHealth(false);
        unchecked.runStalled(0, nanos(100));

        assertThat(unchecked.checkDue(0, nanos(600)), is(false));
        assertThat(unchecked.admits(0, nanos(600)), is(true));
    }

    /** Runs that fail at the same time doubled the quarantine once each. */
    @Test
    void runsThatWereOrderedBeforeTheClosingDoNotProlongIt() {
        closeByFailures(100);
        for (int i = 0; i < 50; i++) {
            health.runFailed(nanos(90), nanos(110));
            health.runStalled(nanos(90), nanos(110));
        }

        assertThat(health.quarantineLeftMillis(nanos(100)), is(500L));
    }

    @Test
    void successOfAnEarlierRunReopensAWorkerThatFailuresHaveClosed() {
        closeByFailures(100);

        assertThat(health.runSucceeded(nanos(90), nanos(110)), is(WorkerHealth.Change.REOPENED));
    }

    /** On some workers single runs stall while others end well. */
    @Test
    void successOfAnEarlierRunDoesNotReopenAWorkerThatAStallHasClosed() {
        health.runStalled(nanos(50), nanos(100));

        assertThat(health.runSucceeded(nanos(90), nanos(110)), is(WorkerHealth.Change.NONE));
        assertThat(health.closedReason().isPresent(), is(true));
    }

    @Test
    void singleSuccessSoonAfterTheReopeningDoesNotResetTheDoubling() {
        closeByFailures(100);
        health.runSucceeded(nanos(700), nanos(720));
        health.runSucceeded(nanos(2_690), nanos(2_700));
        health.runFailed(nanos(2_701), nanos(2_710));
        health.runFailed(nanos(2_701), nanos(2_710));

        assertThat(health.quarantineLeftMillis(nanos(2_710)), is(1_000L));
    }

    @Test
    void successTwoSecondsAfterTheReopeningResetsTheDoubling() {
        closeByFailures(100);
        health.runSucceeded(nanos(700), nanos(720));
        health.runSucceeded(nanos(2_710), nanos(2_720));
        closeByFailures(2_800);

        assertThat(health.quarantineLeftMillis(nanos(2_800)), is(500L));
    }
}
