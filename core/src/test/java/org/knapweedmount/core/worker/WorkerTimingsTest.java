package org.knapweedmount.core.worker;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class WorkerTimingsTest {
    @Test
    void runUnderTheLongestSharedLeaseEndsBeforeItsEntryOrdersItElsewhere() {
        double leaseMillis =
                (WorkerTimings.LEASE_MILLIS + WorkerTimings.MAX_LEASE_EXCESS_MILLIS) / WorkerTimings.MIN_CLOCK_RATE;

        assertThat(
                leaseMillis + WorkerTimings.MAX_STOP_MILLIS, is(lessThan((double) WorkerTimings.MAX_RUN_END_MILLIS)));
    }

    @ParameterizedTest
    @CsvSource({"0, 200, 200", "2999, 200, 200", "3000, 60, 30", "600000, 60, 30"})
    void timeoutsAreLongerWhileTheProcessWarmsUp(long ageMillis, int callMillis, int listMillis) {
        long ageNanos = WorkerTimings.nanos(ageMillis);

        assertThat(WorkerTimings.callTimeoutMillis(ageNanos), is(callMillis));
        assertThat(WorkerTimings.listTimeoutMillis(ageNanos), is(listMillis));
    }
}
