package org.knapweedmount.core.dispatch;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class JobLatenciesTest {
    private final JobLatencies latencies = new JobLatencies();

    @BeforeEach
    void recordLatencies() {
        for (long millis : new long[] {3, 10, 11, 90, 20_000}) {
            latencies.record(JobResult.Kind.COMPLETED, millis);
        }
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 2", "2, 3", "4, 4", "10, 4", "11, 5"})
    void bucketsAreCumulative(int buckets, long jobs) {
        assertThat(latencies.cumulativeCount(JobResult.Kind.COMPLETED, buckets), is(jobs));
    }

    @Test
    void kindsAreCountedSeparately() {
        assertThat(latencies.cumulativeCount(JobResult.Kind.NOT_RUN, 11), is(0L));
    }
}
