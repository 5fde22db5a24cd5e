package org.knapweedmount.core.dispatch;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.RelayedEnd;
import org.knapweedmount.api.message.RelayedYield;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.YieldJob;
import org.knapweedmount.api.work.RunOutcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.dispatch.DispatcherFixture.AGENT;
import static org.knapweedmount.core.dispatch.DispatcherFixture.FIRST;
import static org.knapweedmount.core.dispatch.DispatcherFixture.JOB;
import static org.knapweedmount.core.dispatch.DispatcherFixture.OTHER_PEER;
import static org.knapweedmount.core.dispatch.DispatcherFixture.PEER;
import static org.knapweedmount.core.dispatch.DispatcherFixture.SECOND;

/** Which entry runs a job that its caller has submitted to more than one. */
class DispatcherOwnershipTest {
    /** The estimate of a job for whose run a request may wait for some seconds. */
    private static final int LONG_JOB_MILLIS = 3_000;

    private final DispatcherFixture fixture = new DispatcherFixture();
    private final Dispatcher dispatcher = fixture.dispatcher();

    private static JobOwnershipUpdate owned(String... jobs) {
        List<JobClaim> claims =
                Stream.of(jobs).map(job -> new JobClaim(job, 60_000)).toList();
        return new JobOwnershipUpdate(claims, List.of());
    }

    private static JobOwnershipUpdate owned(String job, long ageMillis) {
        return new JobOwnershipUpdate(List.of(new JobClaim(job, ageMillis)), List.of());
    }

    private static JobOwnershipUpdate ended(String... jobs) {
        return new JobOwnershipUpdate(List.of(), List.of(jobs));
    }

    private void linkPeerThatHolds(String... jobs) {
        dispatcher.entryLinked(PEER, 0);
        fixture.receive(PEER, owned(jobs), 0);
    }

    @Test
    void waitingRequestIsNotAdmittedWhenTheLinkToTheHolderIsReset() {
        linkPeerThatHolds(JOB);
        fixture.submit(0);

        fixture.unlink(PEER, 100);

        assertThat(fixture.ordered(), is(empty()));
    }

    @Test
    void jobOfAnEntryWhoseLinkWasResetIsStillHeldElsewhere() {
        linkPeerThatHolds(JOB);
        fixture.unlink(PEER, 100);

        fixture.submit(200);

        assertThat(fixture.ordered(), is(empty()));
    }

    @Test
    void waitingRequestIsAdmittedOnceTheLeasesOfALostEntryMustHaveEnded() {
        linkPeerThatHolds(JOB);
        fixture.submit(0);
        fixture.unlink(PEER, 100);

        fixture.tick(1_200);
        assertThat(fixture.ordered(), is(empty()));

        fixture.report(1_201, DispatcherFixture.CAPACITY_MILLI_CORES);
        fixture.tick(1_201);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void waitingRequestIsAdmittedWhenTheFullListOfTheHolderLacksTheJob() {
        linkPeerThatHolds(JOB);
        fixture.submit(0);
        fixture.unlink(PEER, 100);

        dispatcher.entryLinked(PEER, 0);
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(PEER, owned(), 200);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void holderThatIsLinkedAgainIsAskedAgainToStopTheJob() {
        linkPeerThatHolds(JOB);
        fixture.submit(0);
        fixture.unlink(PEER, 100);
        dispatcher.entryLinked(PEER, 0);
        fixture.receive(PEER, owned(JOB), 200);

        assertThat(fixture.sent(YieldJob.class).size(), is(2));

        fixture.tick(1_201);
        assertThat(fixture.ordered(), is(empty()));

        fixture.report(1_202, DispatcherFixture.CAPACITY_MILLI_CORES);
        fixture.receive(PEER, ended(JOB), 1_202);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void endIsNotReportedForAJobThatWasAddedAgainWithinOneUpdate() {
        dispatcher.entryLinked(PEER, 0);
        fixture.submit(0);
        fixture.tick(100);
        dispatcher.callerLeft(JOB, DispatchFixture.millisToNanos(110));
        fixture.sendResult(FIRST, RunOutcome.STOPPED, 120);
        fixture.submit(130);
        fixture.tick(200);

        List<JobOwnershipUpdate> updates = fixture.sent(JobOwnershipUpdate.class);
        assertThat(updates.get(updates.size() - 1).ended(), is(empty()));
    }

    @Test
    void requestIsNotAdmittedOnTheWordOfAnEntryThatIsNotTheHolder() {
        linkPeerThatHolds(JOB);
        dispatcher.entryLinked(OTHER_PEER, 0);
        fixture.receive(OTHER_PEER, owned(), 0);
        fixture.submit(0);

        fixture.receive(OTHER_PEER, ended(JOB), 10);

        assertThat(fixture.ordered(), is(empty()));
    }

    @Test
    void requestThatWaitsForOwnRunsIsNotAdmittedOnTheWordOfAPeer() {
        dispatcher.entryLinked(PEER, 0);
        fixture.receive(PEER, owned(), 0);
        fixture.submit(0);
        dispatcher.callerLeft(JOB, DispatchFixture.millisToNanos(10));
        fixture.submit(20);

        fixture.receive(PEER, ended(JOB), 30);
        assertThat(fixture.ordered(), contains(FIRST));

        fixture.sendResult(FIRST, RunOutcome.STOPPED, 40);
        assertThat(fixture.ordered(), contains(FIRST, FIRST));
    }

    @Test
    void requestThatWaitsForOwnRunsAndForAPeerIsAdmittedAfterBoth() {
        dispatcher.entryLinked(PEER, 0);
        fixture.receive(PEER, owned(), 0);
        fixture.submit(0);
        dispatcher.callerLeft(JOB, DispatchFixture.millisToNanos(10));
        fixture.submit(20);
        fixture.receive(PEER, owned(JOB), 30);

        fixture.sendResult(FIRST, RunOutcome.STOPPED, 40);
        assertThat(fixture.ordered(), contains(FIRST));

        fixture.receive(PEER, ended(JOB), 50);
        assertThat(fixture.ordered(), contains(FIRST, FIRST));
    }

    @Test
    void entryWithTheOlderSubmissionOfAJobThatTwoEntriesHoldGivesItUp() {
        linkPeerThatHolds();
        fixture.submit(0);
        fixture.report(1_900, 0);

        fixture.receive(PEER, owned(JOB, 500), 2_000);
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
        assertThat(fixture.stopped(), contains(FIRST));

        fixture.tick(2_010);
        assertThat(fixture.reportsEnd(JOB), is(false));

        fixture.sendResult(FIRST, RunOutcome.STOPPED, 2_020);
        fixture.tick(2_200);
        assertThat(fixture.reportsEnd(JOB), is(true));
    }

    @Test
    void entryWithTheNewerSubmissionOrdersNoRunUntilTheOtherHasEndedTheJob() {
        linkPeerThatHolds();
        fixture.submit(0);
        fixture.receive(PEER, owned(JOB, 2_000), 500);

        fixture.sendResult(FIRST, RunOutcome.REFUSED, 510);
        fixture.receive(AGENT, new ResourceOffer(1, new Resources(4_000, 1_000, 0)), 520);
        fixture.report(530, DispatcherFixture.CAPACITY_MILLI_CORES);
        fixture.tick(540);
        assertThat(fixture.answers(JOB), is(empty()));
        assertThat(fixture.sent(YieldJob.class), contains(new YieldJob(JOB)));
        assertThat(fixture.ordered(), contains(FIRST));

        fixture.receive(PEER, ended(JOB), 550);
        assertThat(fixture.ordered(), contains(FIRST, SECOND));
    }

    @Test
    void jobThatTwoEntriesHoldIsLeftToTheNewestOfItsSubmissions() {
        linkPeerThatHolds();
        fixture.submit(0);
        fixture.submit(1_400);

        fixture.receive(PEER, owned(JOB, 500), 1_450);

        assertThat(fixture.answers(JOB), is(empty()));
        assertThat(fixture.sent(YieldJob.class), contains(new YieldJob(JOB)));
    }

    @Test
    void requestThatWaitsIsGivenUpForANewerOneAtAnotherEntry() {
        linkPeerThatHolds(JOB);
        fixture.submit(0);
        fixture.tick(100);
        dispatcher.entryLinked(OTHER_PEER, 0);
        fixture.receive(OTHER_PEER, owned(JOB, 10), 1_400);

        fixture.receive(PEER, ended(JOB), 1_410);
        fixture.receive(OTHER_PEER, ended(JOB), 1_420);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
        assertThat(fixture.ordered(), is(empty()));
    }

    @Test
    void requestThatWaitsIsNotAnsweredTwiceWhenAnotherEntryAsksForTheJob() {
        linkPeerThatHolds();
        fixture.submit(0);
        dispatcher.callerLeft(JOB, DispatchFixture.millisToNanos(10));
        fixture.submit(20);

        fixture.receive(PEER, new YieldJob(JOB), 30);
        fixture.sendResult(FIRST, RunOutcome.STOPPED, 40);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP, JobResult.Kind.GIVEN_UP));
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void answeredJobWithRunsLeftDoesNotMakeTheHolderOfALiveOneGiveItUp() {
        fixture.submit(0);
        dispatcher.callerLeft(JOB, DispatchFixture.millisToNanos(10));
        dispatcher.entryLinked(PEER, 0);
        fixture.tick(100);

        assertThat(
                fixture.sent(JobOwnershipUpdate.class).get(0).owned(),
                contains(new JobClaim(JOB, JobClaim.ENDING_AGE_MILLIS)));
        fixture.receive(PEER, owned(JOB), 110);
        assertThat(fixture.sent(YieldJob.class), is(empty()));
    }

    @Test
    void requestThatWaitsIsNotAdmittedOnceItsCallerHasLeft() {
        linkPeerThatHolds(JOB);
        fixture.submit(0);

        dispatcher.callerLeft(JOB, DispatchFixture.millisToNanos(10));
        fixture.receive(PEER, ended(JOB), 20);

        assertThat(fixture.ordered(), is(empty()));
        fixture.tick(100);
        assertThat(fixture.reportsEnd(JOB), is(true));
    }

    private static Peers linkedTo(Incarnation entry) {
        return new Peers(List.of(new PeerAddress(entry, Role.ENTRY, "region", "data-centre", "127.0.0.1", 1)));
    }

    @Test
    void waitingRequestIsNotAdmittedWhileAnotherEntryIsLinkedToTheHolder() {
        linkPeerThatHolds(JOB);
        dispatcher.entryLinked(OTHER_PEER, 0);
        fixture.receive(OTHER_PEER, owned(), 0);
        fixture.receive(OTHER_PEER, linkedTo(PEER), 0);
        fixture.submit(JOB, 0, 60_000, LONG_JOB_MILLIS);
        fixture.unlink(PEER, 100);

        fixture.tick(1_300);
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(OTHER_PEER, new Peers(List.of()), 1_400);
        fixture.tick(2_000);
        fixture.report(2_499, DispatcherFixture.CAPACITY_MILLI_CORES);
        fixture.tick(2_500);
        assertThat(fixture.ordered(), is(empty()));

        fixture.tick(2_501);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void wordOfAnEntryThatIsLostItselfKeepsNoJob() {
        linkPeerThatHolds(JOB);
        dispatcher.entryLinked(OTHER_PEER, 0);
        fixture.receive(OTHER_PEER, linkedTo(PEER), 0);
        fixture.submit(0);
        fixture.unlink(PEER, 100);
        fixture.unlink(OTHER_PEER, 200);

        fixture.report(1_299, DispatcherFixture.CAPACITY_MILLI_CORES);
        fixture.tick(1_300);
        assertThat(fixture.ordered(), is(empty()));

        fixture.tick(1_301);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    private void cutOffPeerThatAnAgentIsLinkedTo() {
        dispatcher.entryLinked(PEER, 0);
        fixture.receive(PEER, owned(), 0);
        fixture.receive(AGENT, new LinkedEntries(List.of(PEER), List.of()), 0);
        fixture.unlink(PEER, 100);
    }

    /** A job that another entry has admitted while it is cut off must not run here as well. */
    @Test
    void jobThatIsSubmittedDuringACutRunsOnlyOnceTheEntryBehindItHasEndedIt() {
        cutOffPeerThatAnAgentIsLinkedTo();
        fixture.submit(200);
        RelayedYield request = new RelayedYield(PEER, List.of(JOB), 1);
        assertThat(fixture.ordered(), is(empty()));
        assertThat(fixture.sent(RelayedYield.class), contains(request));

        fixture.tick(250);
        assertThat(fixture.sent(RelayedYield.class), contains(request, new RelayedYield(PEER, List.of(JOB), 2)));

        fixture.receive(AGENT, new RelayedEnd(PEER, List.of(JOB), 1), 260);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** Between a new link and the full list the jobs of the other entry are unknown. */
    @Test
    void jobThatIsSubmittedOnANewLinkRunsOnlyAfterTheFullList() {
        dispatcher.entryLinked(PEER, 0);
        fixture.submit(0);
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(PEER, owned(), 10);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void lateAnswerToAnEarlierRequestDuringACutAdmitsNothing() {
        cutOffPeerThatAnAgentIsLinkedTo();
        fixture.submit(200);
        dispatcher.callerLeft(JOB, DispatchFixture.millisToNanos(210));
        fixture.submit(220);

        fixture.receive(AGENT, new RelayedEnd(PEER, List.of(JOB), 1), 230);
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(AGENT, new RelayedEnd(PEER, List.of(JOB), 2), 240);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void entryThatIsAskedDuringACutAnswersOnlyOnceNoRunOfTheJobIsLeft() {
        fixture.submit(0);
        RelayedYield request = new RelayedYield(PEER, List.of(JOB), 7);

        fixture.receive(AGENT, request, 10);
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
        assertThat(fixture.stopped(), contains(FIRST));
        assertThat(fixture.sent(RelayedEnd.class), is(empty()));

        fixture.sendResult(FIRST, RunOutcome.STOPPED, 20);
        fixture.receive(AGENT, request, 60);
        assertThat(fixture.sent(RelayedEnd.class), contains(new RelayedEnd(PEER, List.of(JOB), 7)));
    }

    @Test
    void jobIsAdmittedAtOnceIfNoProcessIsLinkedToTheLostEntry() {
        cutOffPeerThatAnAgentIsLinkedTo();
        fixture.receive(AGENT, new LinkedEntries(List.of(), List.of()), 150);

        fixture.submit(200);

        assertThat(fixture.ordered(), contains(FIRST));
    }
}
