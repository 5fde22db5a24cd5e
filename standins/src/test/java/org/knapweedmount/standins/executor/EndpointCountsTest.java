package org.knapweedmount.standins.executor;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Resources;
import org.knapweedmount.standins.executor.EndpointCounts.Ending;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EndpointCountsTest {
    private static final Resources USE = new Resources(100, 10, 0);

    @Test
    void keepsThePeaksAfterTheTasksHaveEnded() {
        EndpointCounts counts = new EndpointCounts();
        counts.started(USE, false);
        counts.started(USE, true);
        counts.ended(USE, Ending.COMPLETED);
        counts.started(USE, false);
        counts.ended(USE, Ending.FAILED);
        counts.ended(USE, Ending.STOPPED);
        assertThat(
                counts.snapshot(),
                is(new EndpointCounts.Snapshot(0, 2, 3, 1, 1, 1, 1, Resources.NONE, new Resources(200, 20, 0))));
    }
}
