package org.knapweedmount.core.worker;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class SlowdownEstimatorTest {
    private final SlowdownEstimator estimator = new SlowdownEstimator();

    @BeforeEach
    void warmUp() {
        estimator.observe(1, WorkerTimings.nanos(-10_000));
    }

    private void observe(int samples, double ratio, long nowMillis) {
        for (int i = 0; i < samples; i++) {
            estimator.observe(ratio, WorkerTimings.nanos(nowMillis));
        }
    }

    @Test
    void estimateIsOneWithoutSamples() {
        assertThat(estimator.estimate(0), is(1.0));
    }

    @Test
    void tenSamplesRevealASlowWorker() {
        observe(10, 6, 100);

        assertThat(estimator.estimate(WorkerTimings.nanos(100)), greaterThan(4.0));
    }

    @Test
    void singleSlowRunHasLittleEffect() {
        observe(1, 2, 100);

        assertThat(estimator.estimate(WorkerTimings.nanos(100)), lessThan(1.2));
    }

    @Test
    void estimateDecaysToOneWithoutSamples() {
        observe(40, 5, 0);

        assertThat(estimator.estimate(WorkerTimings.nanos(1_000)), closeTo(2.0, 0.1));
    }

    @Test
    void changeIsReportedOnce() {
        assertThat(estimator.hasChanged(0), is(false));
        observe(20, 6, 0);

        assertThat(estimator.hasChanged(0), is(true));
        assertThat(estimator.hasChanged(0), is(false));
    }

    @Test
    void agentThatIsWarmingUpTakesNoSamples() {
        SlowdownEstimator cold = new SlowdownEstimator();
        for (int millis = 0; millis < 2_900; millis += 50) {
            cold.observe(8, WorkerTimings.nanos(millis));
        }

        assertThat(cold.estimate(WorkerTimings.nanos(2_900)), is(1.0));
    }
}
