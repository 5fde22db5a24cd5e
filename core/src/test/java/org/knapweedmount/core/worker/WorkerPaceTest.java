package org.knapweedmount.core.worker;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class WorkerPaceTest {
    private final WorkerPace pace = new WorkerPace();

    @BeforeEach
    void warmUp() {
        pace.observe(1, WorkerTimings.nanos(-10_000));
    }

    private void observe(int samples, double ratio, long nowMillis) {
        for (int i = 0; i < samples; i++) {
            pace.observe(ratio, WorkerTimings.nanos(nowMillis));
        }
    }

    @Test
    void workerIsOrdinaryUntilItWasSeen() {
        assertThat(pace.slowness(0), is(1.0));
    }

    @Test
    void someSamplesShowASlowWorker() {
        observe(10, 6, 100);

        assertThat(pace.slowness(WorkerTimings.nanos(100)), greaterThan(4.0));
    }

    @Test
    void singleSlowRunChangesLittle() {
        observe(1, 2, 100);

        assertThat(pace.slowness(WorkerTimings.nanos(100)), lessThan(1.2));
    }

    @Test
    void estimateReturnsToOneWhileNothingRuns() {
        observe(40, 5, 0);

        assertThat(pace.slowness(WorkerTimings.nanos(1_000)), closeTo(2.0, 0.1));
    }

    @Test
    void changeIsToldOnce() {
        assertThat(pace.changed(0), is(false));
        observe(20, 6, 0);

        assertThat(pace.changed(0), is(true));
        assertThat(pace.changed(0), is(false));
    }

    @Test
    void agentThatHasJustStartedTakesNoSamples() {
        WorkerPace cold = new WorkerPace();
        for (int millis = 0; millis < 2_900; millis += 50) {
            cold.observe(8, WorkerTimings.nanos(millis));
        }

        assertThat(cold.slowness(WorkerTimings.nanos(2_900)), is(1.0));
    }
}
