package org.knapweedmount.core.dispatch;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class JobHistoryTest {
    private final JobHistory trail = new JobHistory(DispatchFixture.millis(1_000));

    @Test
    void decisionsAreListedWithTheirTimes() {
        trail.add("admitted", DispatchFixture.millis(1_000));
        trail.add("ordered 0.0#1 at a", DispatchFixture.millis(1_012));

        assertThat(trail.toString(), is("0ms admitted; 12ms ordered 0.0#1 at a"));
    }

    @Test
    void trailIsBounded() {
        for (int i = 0; i < 1_000; i++) {
            trail.add("ordered", DispatchFixture.millis(1_000));
        }

        assertThat(trail.toString().length(), lessThan(1_000));
        assertThat(trail.toString(), endsWith(" more"));
    }
}
