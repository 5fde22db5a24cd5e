package org.knapweedmount.core.dispatch;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class JobHistoryTest {
    private final JobHistory history = new JobHistory(DispatchFixture.millisToNanos(1_000));

    @Test
    void decisionsAreListedWithTheirTimes() {
        history.add("admitted", DispatchFixture.millisToNanos(1_000));
        history.add("ordered 0.0#1 at a", DispatchFixture.millisToNanos(1_012));

        assertThat(history.toString(), is("0ms admitted; 12ms ordered 0.0#1 at a"));
    }

    @Test
    void historyIsBounded() {
        for (int i = 0; i < 1_000; i++) {
            history.add("ordered", DispatchFixture.millisToNanos(1_000));
        }

        assertThat(history.toString().length(), lessThan(1_000));
        assertThat(history.toString(), endsWith(" more"));
    }
}
