package org.knapweedmount.core.worker;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Tests {@link WorkerFence}. */
class WorkerFenceTest {
    private static final long BIRTH = 1_787_959_000_000L;
    private static final long DAY_MILLIS = TimeUnit.DAYS.toMillis(1);

    private final WorkerFence fence = new WorkerFence();

    /** Raises the token of a new agent until it reaches that of the worker; returns the number of refusals. */
    private static int raiseTo(WorkerFence fence, long seenToken, long timeMillis) {
        int refusals = 0;
        while (fence.token() < seenToken) {
            fence.raiseAfterRefusal(timeMillis, 0);
            refusals++;
        }
        return refusals;
    }

    @Test
    void tokenIsNotCarriedOverToAnotherWorker() {
        fence.begin("i-1", BIRTH + DAY_MILLIS, 0);
        fence.begin("i-2", BIRTH, 0);

        assertThat(fence.token(), is(BIRTH));
    }

    /** Late orders to the earlier incarnation have to stay below the token. */
    @Test
    void tokenRisesFromOneIncarnationOfAWorkerToTheNext() {
        fence.begin("i-1", BIRTH + DAY_MILLIS, 0);
        fence.begin("i-1", BIRTH, 0);

        assertThat(fence.token(), is(BIRTH + DAY_MILLIS + 1));
    }

    /** A replacement may start while the worker before it still works, and that one refuses lower tokens. */
    @Test
    void earlierWorkerKeepsItsToken() {
        fence.begin("i-1", BIRTH + DAY_MILLIS, 0);
        fence.begin("i-2", BIRTH, 0);

        assertThat(fence.token(new WorkerIncarnation("i-1", BIRTH)), is(BIRTH + DAY_MILLIS));
        fence.begin("i-1", BIRTH, 0);
        assertThat(fence.token(), is(BIRTH + DAY_MILLIS + 1));
    }

    @Test
    void anyTokenIsReachedWithinTwentyRefusals() {
        fence.begin("i-1", BIRTH, 0);

        assertThat(raiseTo(fence, WorkerFence.MAX_TOKEN, BIRTH), is(lessThanOrEqualTo(20)));
        assertThat(fence.token(), is(WorkerFence.MAX_TOKEN));
    }

    /** Agents are replaced again and again during the life of a worker, and each has to get above the one before. */
    @Test
    void tokensDoNotGrowFasterThanTimeFromOneAgentToTheNext() {
        long seenToken = BIRTH + DAY_MILLIS;
        long firstLeadMillis = 0;
        for (int agent = 1; agent <= 1_000; agent++) {
            long timeMillis = BIRTH + TimeUnit.SECONDS.toMillis(agent);
            WorkerFence next = new WorkerFence();
            next.begin("i-1", timeMillis, 0);
            raiseTo(next, seenToken, timeMillis);
            assertThat(next.token(), is(greaterThan(seenToken)));
            seenToken = next.token();
            firstLeadMillis = agent == 1 ? seenToken - timeMillis : firstLeadMillis;
            assertThat(seenToken - timeMillis, is(lessThanOrEqualTo(firstLeadMillis)));
        }
    }
}
