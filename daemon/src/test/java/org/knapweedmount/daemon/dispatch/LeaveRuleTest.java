package org.knapweedmount.daemon.dispatch;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Tests {@link LeaveRule}. */
class LeaveRuleTest {
    private static boolean mayLeave(int negativeProbes, long stoppingMillis, boolean owesNothing, long quietMillis) {
        return LeaveRule.mayLeave(
                negativeProbes,
                TimeUnit.MILLISECONDS.toNanos(stoppingMillis),
                owesNothing,
                TimeUnit.MILLISECONDS.toNanos(quietMillis));
    }

    @Test
    void entryThatTheBalancerHasLeftAndThatOwesNothingLeaves() {
        assertThat(mayLeave(2, 1_500, true, 500), is(true));
    }

    /** Without another entry that is ready, callers go on, and a moment without a request says nothing. */
    @Test
    void entryStaysWhileCallersUseIt() {
        assertThat(mayLeave(4, 4_000, true, 499), is(false));
    }

    @Test
    void entryStaysUntilAllIsAnswered() {
        assertThat(mayLeave(4, 4_000, false, 2_000), is(false));
    }

    @Test
    void entryStaysUntilTheBalancerHasHadTimeToLeave() {
        assertThat(mayLeave(1, 2_500, true, 1_000), is(false));
        assertThat(mayLeave(0, 2_501, true, 1_000), is(true));
    }
}
