package org.knapweedmount.standins.soak;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

class RunHistoryTest {
    private static final String JOB = "00000000000000a1";
    private static final String TASK = JOB + ".0.0.0";
    private static final String OTHER_TASK = JOB + ".0.0.1";
    private static final int CAPACITY = 4_000;

    private final RunHistory history = new RunHistory();

    private List<Violation.Rule> brokenRules() {
        return history.violations().stream().map(Violation::rule).toList();
    }

    private void submit() {
        history.submitted(JOB, 2, "entry-1", 0);
    }

    private void start(String worker, String task, int run) {
        history.started(worker, CAPACITY, task, run, 2_000, 10);
    }

    @Test
    void runsOneAfterTheOtherBreakNoRule() {
        submit();
        start("w1", TASK, 1);
        history.ended("w1", TASK, 1, RunEnd.LAPSED, 20);
        start("w2", TASK, 1);
        history.ended("w2", TASK, 1, RunEnd.DONE, 30);
        start("w2", OTHER_TASK, 1);
        history.ended("w2", OTHER_TASK, 1, RunEnd.DONE, 40);
        history.answered(JOB, CallerAnswer.COMPLETED, 50);
        assertThat(brokenRules(), empty());
    }

    @Test
    void secondRunBesideTheFirstIsFound() {
        submit();
        start("w1", TASK, 1);
        start("w2", TASK, 1);
        assertThat(brokenRules(), contains(Violation.Rule.TWICE));
    }

    @Test
    void secondRunOnTheSameWorkerIsFound() {
        submit();
        start("w1", TASK, 1);
        start("w1", TASK, 2);
        assertThat(brokenRules(), contains(Violation.Rule.TWICE));
    }

    @Test
    void runThatGoesOnAfterItsCallerHasLeftIsFound() {
        submit();
        start("w1", TASK, 1);
        start("w2", OTHER_TASK, 1);
        history.answered(JOB, CallerAnswer.NONE, 100);
        history.left(JOB, 100);
        history.ended("w1", TASK, 1, RunEnd.STOPPED, 6_150);
        assertThat(brokenRules(), empty());

        history.ended("w2", OTHER_TASK, 1, RunEnd.DONE, 6_151);
        assertThat(brokenRules(), contains(Violation.Rule.UNASKED));
    }

    @Test
    void runThatIsStillActiveAfterItsCallerHasLeftIsFound() {
        submit();
        start("w1", TASK, 1);
        history.left(JOB, 100);
        history.submitted("00000000000000a2", 1, "entry-1", 200);
        history.left("00000000000000a2", 6_151);
        assertThat(brokenRules(), contains(Violation.Rule.UNASKED));
    }

    @Test
    void startBeyondTheCapacityIsFound() {
        submit();
        start("w1", TASK, 1);
        start("w1", OTHER_TASK, 1);
        assertThat(brokenRules(), empty());
        start("w1", JOB + ".0.0.2", 1);
        assertThat(brokenRules(), contains(Violation.Rule.LIMIT));
    }

    @Test
    void answerNotRunOfAJobThatRanIsFound() {
        submit();
        start("w1", TASK, 1);
        history.answered(JOB, CallerAnswer.NOT_RUN, 50);
        assertThat(brokenRules(), contains(Violation.Rule.REFUSED));
    }

    @Test
    void answerNotRunAfterAnAttemptWithoutAnswerBreaksNoRule() {
        submit();
        start("w1", TASK, 1);
        history.answered(JOB, CallerAnswer.NONE, 50);
        submit();
        history.answered(JOB, CallerAnswer.NOT_RUN, 60);
        assertThat(brokenRules(), empty());
    }

    @Test
    void completedAnswerBeforeAllTasksAreDoneIsFound() {
        submit();
        start("w1", TASK, 1);
        start("w1", OTHER_TASK, 1);
        history.ended("w1", TASK, 1, RunEnd.DONE, 20);
        history.ended("w1", OTHER_TASK, 1, RunEnd.STOPPED, 20);
        history.answered(JOB, CallerAnswer.COMPLETED, 50);
        assertThat(brokenRules(), contains(Violation.Rule.MIXED));
    }
}
