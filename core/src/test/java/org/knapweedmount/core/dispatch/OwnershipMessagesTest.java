package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.OwnershipProbe;
import org.knapweedmount.api.message.RelayedYield;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;
import static org.knapweedmount.core.dispatch.DispatcherFixture.AGENT;
import static org.knapweedmount.core.dispatch.DispatcherFixture.PEER;

/** The messages about jobs that other entries may hold, while 200 requests wait for one of them. */
class OwnershipMessagesTest {
    private static final int REQUESTS = 200;
    private static final int DURATION_MILLIS = 400;
    private static final int TICK_MILLIS = 25;

    private final DispatcherFixture fixture = new DispatcherFixture();

    private void submitRequestsUntil(long endMillis) {
        for (int number = 0; number < REQUESTS; number++) {
            long millis = endMillis - DURATION_MILLIS + number * DURATION_MILLIS / REQUESTS;
            if (millis % TICK_MILLIS == 0) {
                fixture.tick(millis);
            }
            fixture.submit("%016x".formatted(number + 1), millis, 60_000, 300);
        }
    }

    // While requests waited for the answer of an entry, each of them sent it a probe and an update.
    @Test
    void messagesToALinkedEntryDoNotGrowWithTheRequestsThatWaitForIt() {
        fixture.dispatcher().entryLinked(PEER, 0);
        fixture.dispatcher().startupEntries().started(0);
        submitRequestsUntil(DURATION_MILLIS);

        assertThat(fixture.sent(OwnershipProbe.class), hasSize(lessThan(10)));
        assertThat(fixture.sent(JobOwnershipUpdate.class), hasSize(lessThan(10)));
    }

    // Each request that waited for an entry without a link asked it for its own job, each 50 ms.
    @Test
    void requestsToAnEntryWithoutALinkDoNotGrowWithTheJobsThatAreAskedFor() {
        fixture.receive(AGENT, new LinkedEntries(List.of(PEER), List.of()), 0);
        submitRequestsUntil(DURATION_MILLIS);

        assertThat(
                fixture.sent(RelayedYield.class),
                hasSize(allOf(greaterThan(4), lessThan(1 + DURATION_MILLIS / TICK_MILLIS))));
    }
}
