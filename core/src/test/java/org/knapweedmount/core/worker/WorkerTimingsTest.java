package org.knapweedmount.core.worker;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class WorkerTimingsTest {
    @ParameterizedTest
    @CsvSource({"0, 200, 200", "2999, 200, 200", "3000, 60, 30", "600000, 60, 30"})
    void timeoutsAreLongerWhileTheProcessWarmsUp(long ageMillis, int callMillis, int listMillis) {
        long ageNanos = WorkerTimings.nanos(ageMillis);

        assertThat(WorkerTimings.callTimeoutMillis(ageNanos), is(callMillis));
        assertThat(WorkerTimings.listTimeoutMillis(ageNanos), is(listMillis));
    }
}
