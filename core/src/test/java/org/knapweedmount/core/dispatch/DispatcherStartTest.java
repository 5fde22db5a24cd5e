package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.OwnershipProbe;
import org.knapweedmount.api.message.OwnershipProbeReply;
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
import static org.knapweedmount.core.dispatch.DispatcherFixture.PEER;

/** What an entry has to know of other entries before it admits a job. */
class DispatcherStartTest {
    private static final JobOwnershipUpdate NOTHING = new JobOwnershipUpdate(List.of(), List.of());

    private final DispatcherFixture fixture = new DispatcherFixture();
    private final Dispatcher dispatcher = fixture.dispatcher();

    private void start() {
        dispatcher.started(0);
        dispatcher.entriesListed(List.of(PEER.process()), 0);
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
        assertThat(dispatcher.isStarting(DispatchFixture.millisToNanos(202)), is(false));
    }

    /** Without a list of entries nothing is known of what others run. */
    @Test
    void requestReadRightAfterAStartWaitsForAListOfTheEntries() {
        dispatcher.started(0);
        fixture.submit(10);
        fixture.tick(100);
        assertThat(fixture.ordered(), is(empty()));

        dispatcher.entriesListed(List.of(), DispatchFixture.millisToNanos(110));
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

        assertThat(fixture.sent(RelayedYield.class), contains(new RelayedYield(PEER, JOB, 1)));
        assertThat(fixture.ordered(), is(empty()));

        fixture.receive(AGENT, new RelayedEnd(PEER, JOB, 1), 4);
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

        fixture.receive(AGENT, new RelayedEnd(PEER, JOB, 1), 30);
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
        assertThat(fixture.ordered(), contains(FIRST));
    }

    /** An entry that has answered a probe must not learn of an earlier claim only afterwards. */
    @Test
    void probeIsAnsweredAfterTheClaimsOfAllJobsThatAreHeld() {
        link(0);
        fixture.submit(0);

        fixture.receive(PEER, new OwnershipProbe(7), 1);

        List<Object> toPeer = fixture.sent().stream()
                .filter(sent -> sent.receiver().equals(PEER))
                .map(sent -> (Object) sent.message())
                .toList();
        Object last = toPeer.get(toPeer.size() - 1);
        assertThat(last, is(new OwnershipProbeReply(7)));
        assertThat(toPeer, hasItem(is(new JobOwnershipUpdate(List.of(new JobClaim(JOB, 0)), List.of()))));
    }

    @Test
    void answerToAProbeOfAnEarlierLinkConfirmsNothing() {
        link(0);
        fixture.unlink(PEER, 1);
        link(2);

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
}
