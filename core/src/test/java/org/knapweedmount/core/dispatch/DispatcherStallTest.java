package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.YieldJob;

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
        assertThat(fixture.events("entry-stalled"), contains("entry-stalled missed=1501 lost=0 jobs=1 waiting=0"));
    }

    @Test
    void requestThatWaitsIsGivenUpAfterAGapBetweenTicks() {
        fixture.dispatcher().entryLinked(PEER, 0);
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
        fixture.tick(1_700);
        fixture.report(1_701, CAPACITY_MILLI_CORES);
        assertThat(fixture.ordered(), is(empty()));

        fixture.tick(1_702);
        assertThat(fixture.answers(JOB), is(empty()));
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void gapShorterThanTheLossOfALinkKeepsJobs() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 60_000, 900);
        tickEvery(0, 100);

        fixture.report(1_600, CAPACITY_MILLI_CORES);
        fixture.tick(1_700);

        assertThat(fixture.answers(JOB), is(empty()));
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** The job may have been submitted to another entry during the gap, which tells so within 100 ms. */
    @Test
    void runsAreOrderedAfterAGapOnlyOnceOtherEntriesHaveToldTheirJobs() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 60_000, 900);
        tickEvery(0, 100);

        fixture.report(1_101, CAPACITY_MILLI_CORES);
        assertThat(fixture.ordered(), is(empty()));
        assertThat(fixture.events("entry-paused"), contains("entry-paused missed=1001 lost=0 jobs=1"));

        fixture.tick(1_200);
        assertThat(fixture.ordered(), is(empty()));
        fixture.tick(1_201);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void requestThatIsReadAfterAGapWaitsForTheJobsOfOtherEntries() {
        fixture.dispatcher().entryLinked(PEER, 0);
        fixture.receive(PEER, new JobOwnershipUpdate(List.of(), List.of()), 0);
        tickEvery(0, 100);

        fixture.submit(1_101);
        fixture.receive(PEER, new JobOwnershipUpdate(List.of(new JobClaim(JOB, 10)), List.of()), 1_150);
        fixture.tick(1_201);

        assertThat(fixture.ordered(), is(empty()));
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
    }

    /** Reports whose agent's clock is ahead of the entry's, as if the entry's clock had lost the difference. */
    private void reportAhead(long millis, long aheadMillis, int freeMilliCores) {
        fixture.report(AGENT, millis + aheadMillis, millis, freeMilliCores);
    }

    @Test
    void jobIsGivenUpBeforeAReportThatShowsASuspensionOrdersItsRuns() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 60_000, 900);
        tickEvery(0, 100);

        reportAhead(110, 1_800, CAPACITY_MILLI_CORES);

        assertThat(fixture.ordered(), is(empty()));
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
        assertThat(fixture.events("entry-stalled").size(), is(1));
    }

    @Test
    void suspensionIsDetectedFromReportsThatWereBufferedMeanwhile() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 60_000, 900);
        tickEvery(0, 100);

        for (long ahead = 150; ahead <= 1_800; ahead += 150) {
            reportAhead(110, ahead, 0);
        }

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
    }

    @Test
    void jobSubmittedAfterASuspensionIsKeptWhenTheNextAgentShowsItAsWell() {
        Incarnation second = new Incarnation("second-agent", 4);
        fixture.dispatcher().agentLinked(second, 0);
        fixture.report(second, 0, 0, 0);
        tickEvery(0, 100);
        reportAhead(110, 3_000, CAPACITY_MILLI_CORES);
        fixture.submit(JOB, 120, 60_000, 300);
        fixture.tick(210);

        fixture.report(second, 3_220, 220, 0);

        assertThat(fixture.answers(JOB), is(empty()));
        assertThat(fixture.events("entry-stalled").size(), is(1));
    }

    @Test
    void clockDriftIsNoSuspension() {
        for (long millis = 0; millis <= 300_000; millis += 100) {
            reportAhead(millis, millis / 50, 0);
            fixture.tick(millis);
        }

        assertThat(fixture.events("entry-stalled"), is(empty()));
    }

    @Test
    void suspensionIsDetectedAfterLongDriftInTheOppositeDirection() {
        for (long millis = 0; millis <= 300_000; millis += 100) {
            reportAhead(millis, -millis / 50, 0);
            fixture.tick(millis);
        }

        reportAhead(300_000, -6_000 + 2_000, 0);

        assertThat(fixture.events("entry-stalled").size(), is(1));
    }

    @Test
    void delayedReportsAreNoSuspension() {
        fixture.report(0, 0);
        tickEvery(0, 2_000);

        reportAhead(2_900, -900, 0);
        fixture.tick(2_900);
        reportAhead(3_000, 0, 0);
        fixture.tick(3_000);

        assertThat(fixture.events("entry-stalled"), is(empty()));
    }

    @Test
    void clockOfANewWorkerIsNoSuspension() {
        fixture.report(0, 0);
        tickEvery(0, 100);

        fixture.report(AGENT, "another-worker", 900_000, 110, 0);

        assertThat(fixture.events("entry-stalled"), is(empty()));
    }

    @Test
    void requestReadAfterAGapBeforeTheEndOfItsConnectionOrdersNoRun() {
        tickEvery(0, 100);
        fixture.submit(JOB, 1_601, 60_000, 300);
        fixture.report(1_602, CAPACITY_MILLI_CORES);

        boolean cancelled = fixture.dispatcher().callerLeft(JOB, DispatchFixture.millisToNanos(1_603));
        fixture.tick(1_702);

        assertThat(cancelled, is(true));
        assertThat(fixture.ordered(), is(empty()));
    }

    @Test
    void requestReadAfterAGapGivesWayToASubmissionDuringTheGap() {
        fixture.dispatcher().entryLinked(PEER, 0);
        tickEvery(0, 100);
        fixture.submit(JOB, 1_601, 60_000, 300);

        fixture.receive(PEER, new JobOwnershipUpdate(List.of(new JobClaim(JOB, 500)), List.of()), 1_610);
        fixture.report(1_701, CAPACITY_MILLI_CORES);
        fixture.tick(1_702);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
        assertThat(fixture.sent(YieldJob.class), is(empty()));
        assertThat(fixture.ordered(), is(empty()));
    }
}
