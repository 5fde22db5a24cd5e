package org.knapweedmount.standins.executor;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Resources;
import org.knapweedmount.standins.executor.EndpointCounts.TaskOutcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EndpointCountsTest {
    private static final Resources USE = new Resources(100, 10, 0);

    @Test
    void keepsPeaksAfterTasksHaveEnded() {
        EndpointCounts counts = new EndpointCounts();
        counts.recordStart(USE, false);
        counts.recordStart(USE, true);
        counts.recordEnd(USE, TaskOutcome.COMPLETED);
        counts.recordStart(USE, false);
        counts.recordEnd(USE, TaskOutcome.FAILED);
        counts.recordEnd(USE, TaskOutcome.STOPPED);
        assertThat(
                counts.snapshot(),
                is(new EndpointCounts.Snapshot(0, 2, 3, 1, 1, 1, 1, Resources.NONE, new Resources(200, 20, 0))));
    }
}
