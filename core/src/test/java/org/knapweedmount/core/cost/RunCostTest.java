package org.knapweedmount.core.cost;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class RunCostTest {
    /** Guards against a term of the model that is left out of the prediction, or is counted twice. */
    @Test
    void everyTermLengthensTheRun() {
        RunCost cost = new RunCost(100, 1.5, 2, 1.2, 0, 40);

        assertThat(cost.durationMillis(), is(360.0));
        assertThat(cost.endNanos(7), is(7 + TimeUnit.MILLISECONDS.toNanos(400)));
    }

    /** Guards against taking a run of a second to be slow for all its time on a worker that is cold for a moment. */
    @ParameterizedTest
    @CsvSource({
        "100, 0, 100", // warm
        "100, 1000, 200", // cold for longer than the run
        "100, 200, 200", // cold for exactly as long
        "1000, 100, 1050", // half of the cold time is lost
        "100, -5, 100" // the cold time has passed since it was reported
    })
    void runIsSlowOnlyWhileItsWorkerIsCold(double warmMillis, double coldMillis, double millis) {
        assertThat(RunCost.withCold(warmMillis, coldMillis), is(millis));
    }
}
