package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.OwnershipProbe;
import org.knapweedmount.api.message.OwnershipProbeReply;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.RelayedEnd;
import org.knapweedmount.api.message.RelayedYield;
import org.knapweedmount.api.work.RunOutcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.dispatch.DispatcherFixture.AGENT;
import static org.knapweedmount.core.dispatch.DispatcherFixture.CAPACITY_MILLI_CORES;
import static org.knapweedmount.core.dispatch.DispatcherFixture.FIRST;
import static org.knapweedmount.core.dispatch.DispatcherFixture.JOB;
import static org.knapweedmount.core.dispatch.DispatcherFixture.OTHER_PEER;
import static org.knapweedmount.core.dispatch.DispatcherFixture.PEER;

/** What an entry has to know of other entries before it admits a job. */
class DispatcherStartTest {
    private static final JobOwnershipUpdate NOTHING = new JobOwnershipUpdate(List.of(), List.of());

    private static final Incarnation FAR_AGENT = new Incarnation("far-agent", 5);

    private final DispatcherFixture fixture = new DispatcherFixture();
    private final Dispatcher dispatcher = fixture.dispatcher();

    private void start() {
        dispatcher.startupEntries().started(0);
        dispatcher.startupEntries().listed(List.of(PEER.process()));
    }

    private void link(long millis) {
        dispatcher.entryLinked(PEER, DispatchFixture.millisToNanos(millis));
    }

    private static JobOwnershipUpdate owned() {
        return new JobOwnershipUpdate(List.of(new JobClaim(JOB, 60_000)), List.of());
    }

    private static JobOwnershipUpdate ended() {
        return new JobOwnershipUpdate(List.of(), List.of(JOB));
    }

    /** An entry that had just started admitted a job that another one ran, before it was linked to that one. */
    @Test
    void jobThatAnotherEntryRunsIsNotAdmittedRightAfterAStart() {
        start();
        fixture.submit(10);
        assertThat(fixture.ordered(), is(empty()));

        link(200);
        fixture.receive(PEER, owned(), 201);
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(PEER, ended(), 210);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void requestReadRightAfterAStartIsAdmittedAsSoonAsTheJobsOfTheOtherEntriesAreKnown() {
        start();
        fixture.submit(10);
        link(200);
        fixture.receive(PEER, NOTHING, 201);

        assertThat(fixture.ordered(), contains(FIRST));
        assertThat(dispatcher.startupEntries().isAwaiting(DispatchFixture.millisToNanos(202)), is(false));
    }

    /** Without a list of entries nothing is known of what others run. */
    @Test
    void requestReadRightAfterAStartWaitsForAListOfTheEntries() {
        dispatcher.startupEntries().started(0);
        fixture.submit(10);
        fixture.tick(100);
        assertThat(fixture.ordered(), is(empty()));

        dispatcher.startupEntries().listed(List.of());
        fixture.tick(125);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void entryThatHasEndedBeforeTheStartHoldsUpRequestsOnlyUntilItsLeasesHaveEnded() {
        start();
        fixture.submit(10);
        fixture.tick(1_100);
        assertThat(fixture.ordered(), is(empty()));

        fixture.report(1_101, CAPACITY_MILLI_CORES);
        fixture.tick(1_101);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** An entry that agents had found, but that had no link to this one yet, was taken to hold nothing for a second. */
    @Test
    void entryThatAnAgentHasJustReportedIsAskedForAJobBeforeItRuns() {
        fixture.receive(AGENT, new LinkedEntries(List.of(PEER), List.of()), 0);
        fixture.submit(1);

        assertThat(fixture.sent(RelayedYield.class), contains(new RelayedYield(PEER, List.of(JOB), 1)));
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(AGENT, new RelayedEnd(PEER, List.of(JOB), 1), 4);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** A queued job may be run by an entry that becomes known before its first run. */
    @Test
    void queuedJobIsConfirmedAgainWhenAnotherEntryBecomesKnown() {
        fixture.report(0, 0);
        fixture.submit(0);
        fixture.receive(AGENT, new LinkedEntries(List.of(PEER), List.of()), 10);
        fixture.report(20, CAPACITY_MILLI_CORES);
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(AGENT, new RelayedEnd(PEER, List.of(JOB), 1), 30);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** The runs of an entry that has ended go on until its agents notice, and nothing else tells of them after a start. */
    @Test
    void jobIsNotAdmittedWhileRunsOfAnEntryThatHasEndedAreLeft() {
        fixture.receive(AGENT, new LinkedEntries(List.of(), List.of(PEER)), 0);
        fixture.submit(10);
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(AGENT, new LinkedEntries(List.of(), List.of()), 350);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** A link that was silent but not lost yet hid the claim of a job for longer than callers wait to submit it again. */
    @Test
    void jobIsNotAdmittedOnKnowledgeOfALinkedEntryThatIsOlderThanAResubmission() {
        link(0);
        fixture.receive(PEER, NOTHING, 0);
        fixture.tick(0);
        for (long millis = 100; millis <= 1_000; millis += 100) {
            fixture.tick(millis);
        }
        fixture.report(1_001, CAPACITY_MILLI_CORES);
        fixture.submit(1_001);
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(PEER, owned(), 1_100);
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(PEER, ended(), 1_110);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** A request that was read late may have been submitted to another entry, whose claim is under way. */
    @Test
    void requestReadAfterAPauseIsAdmittedOnlyOnAnAnswerGivenAfterThat() {
        link(0);
        fixture.receive(PEER, NOTHING, 0);
        fixture.tick(0);

        fixture.report(300, CAPACITY_MILLI_CORES);
        fixture.submit(301);
        assertThat(fixture.ordered(), is(empty()));

        fixture.answerProbes(PEER, 303);
        assertThat("the probe was sent before the request was read", fixture.ordered(), is(empty()));

        fixture.tick(325);
        fixture.answerProbes(PEER, 327);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    private void tickUntil(long startMillis, long endMillis) {
        for (long millis = startMillis; millis <= endMillis; millis += 25) {
            fixture.tick(millis);
        }
    }

    /** Answers of an entry that lacks processor time come after the next probe has been sent. */
    @Test
    void answerToAProbeCountsThoughTheNextOneHasBeenSent() {
        link(0);
        fixture.receive(PEER, NOTHING, 0);
        tickUntil(0, 800);
        List<OwnershipProbe> probes = fixture.sent(OwnershipProbe.class);
        fixture.receive(
                PEER, new OwnershipProbeReply(probes.get(probes.size() - 2).number()), 800);

        tickUntil(800, 1_100);
        fixture.report(1_100, CAPACITY_MILLI_CORES);
        fixture.submit(1_100);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** An entry that has answered a probe must not learn of an earlier claim only afterwards. */
    @Test
    void probeIsAnsweredAfterTheClaimsOfAllJobsThatAreHeld() {
        link(0);
        fixture.receive(PEER, NOTHING, 0);
        fixture.submit(0);
        assertThat(fixture.ordered(), contains(FIRST));

        fixture.receive(PEER, new OwnershipProbe(7), 1);

        List<Object> toPeer = fixture.sent().stream()
                .filter(sent -> sent.receiver().equals(PEER))
                .map(sent -> (Object) sent.message())
                .toList();
        Object last = toPeer.get(toPeer.size() - 1);
        assertThat(last, is(new OwnershipProbeReply(7)));
        assertThat(toPeer, hasItem(is(new JobOwnershipUpdate(List.of(new JobClaim(JOB, 1)), List.of()))));
    }

    /** Each probe of each entry led to messages to all others. */
    @Test
    void probeOfOneEntryLeadsToNoMessagesToOthers() {
        link(0);
        dispatcher.entryLinked(OTHER_PEER, 0);
        fixture.receive(PEER, NOTHING, 0);
        fixture.receive(OTHER_PEER, NOTHING, 0);
        fixture.submit(0);
        fixture.sent().clear();

        fixture.receive(PEER, new OwnershipProbe(7), 1);

        assertThat(
                fixture.sent().stream()
                        .filter(sent -> sent.receiver().equals(OTHER_PEER))
                        .toList(),
                is(empty()));
    }

    @Test
    void answerToAProbeOfAnEarlierLinkConfirmsNothing() {
        link(0);
        fixture.unlink(PEER, 1);
        link(2);

        dispatcher.receive(PEER, NOTHING, DispatchFixture.millisToNanos(3));
        fixture.receive(PEER, new OwnershipProbeReply(1), 3);
        fixture.submit(4);

        assertThat(fixture.ordered(), is(empty()));
    }

    /** The end of the runs of an earlier submission took back the claim of a request that was held after a stall. */
    @Test
    void requestThatIsHeldAfterAStallKeepsItsClaimWhenTheRunsOfAnEarlierSubmissionEnd() {
        link(0);
        fixture.receive(PEER, NOTHING, 0);
        fixture.tick(0);
        fixture.submit(1);
        fixture.tick(101);

        fixture.submit(1_700);
        fixture.sendResult(FIRST, RunOutcome.STOPPED, 1_701);
        fixture.tick(1_850);

        assertThat(fixture.reportsEnd(JOB), is(false));
    }

    private void tickAndReport(long fromMillis, long toMillis) {
        for (long millis = fromMillis; millis <= toMillis; millis += 50) {
            fixture.tick(millis);
            fixture.report(millis, CAPACITY_MILLI_CORES);
        }
    }

    private void linkPeerAndItsAgent() {
        link(0);
        fixture.receive(PEER, NOTHING, 0);
        dispatcher.agentLinked(FAR_AGENT, 0);
        fixture.receive(FAR_AGENT, new LinkedEntries(List.of(PEER), List.of()), 0);
    }

    /** The loss of the links to an entry and to its agents was taken for the end of its runs. */
    @Test
    void requestIsNotAdmittedRightAfterTheLossOfAnEntryAndOfAgentsThatMayRunItsJob() {
        linkPeerAndItsAgent();
        tickAndReport(0, 1_300);
        fixture.submit(1_310);
        tickAndReport(1_350, 1_500);
        fixture.unlink(PEER, 1_501);
        fixture.unlink(FAR_AGENT, 1_510);
        tickAndReport(1_550, 2_600);
        assertThat(fixture.ordered(), is(empty()));

        tickAndReport(2_650, 2_700);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    @Test
    void requestIsNotAdmittedWhenTheOnlyAgentIsLostThatReportedACutOffEntry() {
        dispatcher.agentLinked(FAR_AGENT, 0);
        fixture.receive(FAR_AGENT, new LinkedEntries(List.of(PEER), List.of()), 0);
        fixture.submit(1);

        fixture.unlink(FAR_AGENT, 10);
        fixture.report(11, CAPACITY_MILLI_CORES);

        assertThat(fixture.ordered(), is(empty()));
    }

    /** With all agents in reach nothing is waited for that only they could tell. */
    @Test
    void requestIsAdmittedWhenAnEntryIsLostThatNoAgentIsLinkedTo() {
        linkPeerAndItsAgent();
        tickAndReport(0, 1_300);
        fixture.submit(1_310);
        assertThat(fixture.ordered(), is(empty()));

        fixture.unlink(PEER, 1_501);
        fixture.receive(FAR_AGENT, new LinkedEntries(List.of(), List.of()), 1_520);

        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** An entry that had been cut off ordered its lost runs again before it knew what the others had admitted. */
    @Test
    void lostRunsAreNotOrderedAgainAfterACutBeforeTheJobsOfOtherEntriesAreKnown() {
        link(0);
        fixture.receive(PEER, NOTHING, 0);
        fixture.submit(JOB, 2, 60_000, 3_000);
        assertThat(fixture.ordered(), contains(FIRST));
        for (long millis = 50; millis <= 4_000; millis += 50) {
            if (millis == 1_500) {
                fixture.unlink(AGENT, millis);
                fixture.unlink(PEER, millis);
            }
            fixture.tick(millis);
        }

        dispatcher.agentLinked(AGENT, DispatchFixture.millisToNanos(4_010));
        fixture.receive(AGENT, new LinkedEntries(List.of(PEER), List.of()), 4_011);
        fixture.receive(AGENT, new ActiveRuns(List.of()), 4_011);
        fixture.report(4_012, CAPACITY_MILLI_CORES);

        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** The end of an earlier submission that was under way for long was taken for a word about the present one. */
    @Test
    void endThatWasToldBeforeTheOtherEntryReadTheJobAgainAdmitsNothing() {
        link(0);
        dispatcher.receive(PEER, owned(), 0);
        fixture.answerProbes(PEER, 0);
        tickAndReport(0, 1_300);
        fixture.submit(1_330);

        dispatcher.receive(PEER, ended(), DispatchFixture.millisToNanos(1_350));
        fixture.report(1_350, CAPACITY_MILLI_CORES);
        assertThat(fixture.ordered(), is(empty()));

        fixture.answerProbes(PEER, 1_351);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** A job that another entry might run was said not to have run. */
    @Test
    void jobThatAnotherEntryMayRunIsNotSaidNotToHaveRunWhenItExpires() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 500, 300);
        fixture.receive(AGENT, new LinkedEntries(List.of(PEER), List.of()), 10);
        for (long millis = 25; millis <= 600; millis += 25) {
            fixture.tick(millis);
        }

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
    }

    @Test
    void requestsThatWaitForOtherEntriesAreAnsweredAtTheEndOfADrain() {
        start();
        fixture.submit(10);

        dispatcher.finishDrain(DispatchFixture.millisToNanos(20));

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
    }

    /** A run that an agent can't get rid of held up all requests; the lease of an entry without a link has an end. */
    @Test
    void runsThatAnAgentReportsForLongerThanTheirLeaseHoldUpNothing() {
        fixture.receive(AGENT, new LinkedEntries(List.of(), List.of(PEER)), 0);
        fixture.tick(0);
        fixture.submit(10);
        tickAndReport(50, 1_100);
        assertThat(fixture.ordered(), is(empty()));

        tickAndReport(1_150, 1_150);
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /**
     * An entry that answers nothing, while an agent is still linked to it, holds up the requests of the others: until the link
     * times out, and then for as long as the agent reports it. Only the caller's deadline ends the wait, and the answer is
     * decided after that.
     */
    @Test
    void requestThatWaitsForAnEntryThatAnswersNothingIsAnsweredWhileItsCallerWaits() {
        link(0);
        fixture.receive(PEER, NOTHING, 0);
        dispatcher.agentLinked(FAR_AGENT, 0);
        fixture.receive(FAR_AGENT, new LinkedEntries(List.of(PEER), List.of()), 0);
        tickAndReport(0, 1_050);
        fixture.submit(JOB, 1_060, 1_500, 300);
        tickAndReport(1_100, 1_500);
        fixture.unlink(PEER, 1_501);
        tickAndReport(1_550, 2_550);

        assertThat(
                "ordered or answered",
                fixture.ordered().size() + fixture.answers(JOB).size(),
                is(1));
    }

    /** A peer that is linked to nobody else lists no entries, which says nothing about those that this one must know. */
    @Test
    void requestIsHeldAfterTheStartThoughAPeerThatHasJustStartedKnowsOfNoOtherEntry() {
        dispatcher.startupEntries().started(0);
        link(10);
        fixture.receive(PEER, NOTHING, 11);
        fixture.receive(PEER, new Peers(List.of()), 12);

        fixture.submit(20);

        assertThat(fixture.ordered(), is(empty()));
    }
}
