package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.ResourceOffer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.dispatch.DispatcherFixture.AGENT;
import static org.knapweedmount.core.dispatch.DispatcherFixture.CAPACITY_MILLI_CORES;
import static org.knapweedmount.core.dispatch.DispatcherFixture.FIRST;
import static org.knapweedmount.core.dispatch.DispatcherFixture.JOB;
import static org.knapweedmount.core.dispatch.DispatcherFixture.PEER;

/** What an entry does with its jobs after it stood still. */
class DispatcherStallTest {
    private final DispatcherFixture fixture = new DispatcherFixture();

    @Test
    void runIsNotOrderedOnAReportReadBeforeTheTickThatExpiresTheJob() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 500, 300);

        fixture.report(501, CAPACITY_MILLI_CORES);

        assertThat(fixture.ordered(), is(empty()));
    }

    @Test
    void runIsNotOrderedOnAnOfferReadBeforeTheTickThatExpiresTheJob() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 500, 300);

        fixture.receive(AGENT, new ResourceOffer(1, new Resources(CAPACITY_MILLI_CORES, 1_000, 0)), 501);

        assertThat(fixture.ordered(), is(empty()));
    }

    private void tickEvery(long fromMillis, long toMillis) {
        for (long millis = fromMillis; millis <= toMillis; millis += 100) {
            fixture.report(millis, 0);
            fixture.tick(millis);
        }
    }

    @Test
    void jobIsGivenUpBeforeAReportThatFollowsAGapBetweenTicksOrdersItsRuns() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 60_000, 900);
        tickEvery(0, 100);

        fixture.report(1_601, CAPACITY_MILLI_CORES);

        assertThat(fixture.ordered(), is(empty()));
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
        assertThat(fixture.events("entry-stalled"), contains("entry-stalled missed=1501 jobs=1 waiting=0"));
    }

    @Test
    void requestThatWaitsIsGivenUpAfterAGapBetweenTicks() {
        fixture.dispatcher().entryLinked(PEER);
        fixture.receive(PEER, new JobOwnershipUpdate(List.of(new JobClaim(JOB, 100)), List.of()), 0);
        fixture.submit(0);
        tickEvery(0, 100);

        fixture.receive(PEER, new JobOwnershipUpdate(List.of(), List.of(JOB)), 1_601);

        assertThat(fixture.ordered(), is(empty()));
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
    }

    @Test
    void jobSubmittedAfterAGapBetweenTicksIsKept() {
        tickEvery(0, 100);

        fixture.submit(JOB, 1_601, 60_000, 300);
        fixture.tick(1_602);
        fixture.report(1_603, CAPACITY_MILLI_CORES);

        assertThat(fixture.answers(JOB), is(empty()));
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void gapShorterThanTheLossOfALinkKeepsJobs() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 60_000, 900);
        tickEvery(0, 100);

        fixture.report(1_600, CAPACITY_MILLI_CORES);

        assertThat(fixture.ordered(), contains(FIRST));
    }
}
