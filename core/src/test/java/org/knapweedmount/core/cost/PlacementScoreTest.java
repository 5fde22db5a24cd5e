package org.knapweedmount.core.cost;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class PlacementScoreTest {
    private static final double FAST = 0.41;
    private static final double MEAN_MILLIS = 190;

    private static int steps(double expectedMillis, double slowdown, double usedFraction) {
        return PlacementScore.steps(expectedMillis, slowdown * expectedMillis, slowdown, usedFraction, MEAN_MILLIS);
    }

    /** Guards against short tasks that fill the fast workers, on which long ones would meet their target. */
    @Test
    void nearlyFullFastWorkerIsForLongTasks() {
        assertThat(steps(1_086, FAST, 0.9), is(lessThan(steps(1_086, 1, 0))));
        assertThat(steps(73, 1, 0.9), is(lessThan(steps(73, FAST, 0.9))));
    }

    @Test
    void everyTaskEndsEarlierOnAFastWorkerThatIsHardlyUsed() {
        assertThat(steps(73, FAST, 0.3), is(lessThan(steps(73, 1, 0.3))));
    }

    /** Guards against preferring one of two workers by a difference within the error of predictions. */
    @Test
    void smallDifferencesDoNotCount() {
        assertThat(steps(286, 1.04, 0.3), is(steps(286, 1, 0.9)));
    }
}
