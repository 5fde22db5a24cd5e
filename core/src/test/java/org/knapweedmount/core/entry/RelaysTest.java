package org.knapweedmount.core.entry;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.RelayAnswer;
import org.knapweedmount.api.message.RelayRequest;
import org.knapweedmount.api.message.Roster;
import org.knapweedmount.api.message.Seal;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.complete;
import static org.knapweedmount.core.entry.EntryFixture.job;

/** Requests for ids that entries of other regions have issued, and those that such entries pass on. */
class RelaysTest {
    private static final PeerAddress ISSUER = remote("far-1");
    private static final PeerAddress NEIGHBOUR = remote("far-2");
    private static final SubmissionId ID = id(ISSUER, 5);
    private static final JobSpec JOB = job(RESERVE, "lens");

    private final EntryFixture entry = new EntryFixture();

    private static PeerAddress remote(String name) {
        return new PeerAddress(new Incarnation(name, 1), Role.ENTRY, "elsewhere", "bilbao", "127.0.0.1", 7101);
    }

    private static SubmissionId id(PeerAddress issuer, long sequence) {
        return new SubmissionId(issuer.incarnation(), sequence, 1);
    }

    private void link(PeerAddress peer) {
        entry.core.linked(peer, entry.now);
    }

    private RelayRequest relayed(PeerAddress carrier) {
        return entry.output.to(carrier.incarnation(), RelayRequest.class).get(0);
    }

    private void answer(PeerAddress carrier, JobAnswer answer) {
        entry.receive(carrier.incarnation(), new RelayAnswer(relayed(carrier).request(), answer));
    }

    @Test
    void linkIsOpenedOnceToTheIssuerAndTheRequestsSentOverIt() {
        entry.core.addKnownEntries(List.of(ISSUER, NEIGHBOUR));
        long request = entry.submit(ID, JOB);
        entry.submit(id(ISSUER, 6), JOB);
        assertThat(entry.output.reached, contains(ISSUER));

        link(ISSUER);
        JobAnswer answer = JobAnswer.complete(ID, List.of(complete("reserved")));
        answer(ISSUER, answer);

        assertThat(entry.output.to(ISSUER.incarnation(), RelayRequest.class), hasSize(2));
        assertThat(entry.answer(request), is(answer));
    }

    @Test
    void issuerThatCannotBeReachedIsAskedForThroughAnotherEntryOfItsRegion() {
        entry.core.addKnownEntries(List.of(ISSUER, NEIGHBOUR));
        long request = entry.submit(ID, JOB);
        entry.after(2_000);
        assertThat(entry.output.reached, contains(ISSUER, NEIGHBOUR));

        link(NEIGHBOUR);
        JobAnswer answer = JobAnswer.complete(ID, List.of(complete("reserved")));
        answer(NEIGHBOUR, answer);

        assertThat(entry.answer(request), is(answer));
    }

    @Test
    void regionThatCannotBeReachedMakesTheOutcomeUnknown() {
        entry.core.addKnownEntries(List.of(ISSUER, NEIGHBOUR, remote("far-3"), remote("far-4")));
        long request = entry.submit(ID, JOB);
        entry.after(2_000);
        entry.after(2_000);
        assertThat(entry.answered(request), is(false));
        entry.after(2_000);

        assertThat(entry.ending(request), is("UNKNOWN/CONNECTION_LOST"));
        assertThat(entry.output.reached, hasSize(3));
    }

    @Test
    void requestUnderWayWhenItsLinkEndsIsSentAgainOverTheNext() {
        entry.core.addKnownEntries(List.of(ISSUER));
        entry.submit(ID, JOB);
        link(ISSUER);
        entry.core.unlinked(ISSUER.incarnation(), entry.now);
        link(ISSUER);

        assertThat(entry.output.reached, contains(ISSUER, ISSUER));
        assertThat(entry.output.to(ISSUER.incarnation(), RelayRequest.class), hasSize(2));
    }

    @Test
    void requestsForARegionThatIsCutOffLeaveRoomForThoseInsideThisOne() {
        PeerAddress near = EntryFixture.entryAddress("entry-2");
        link(near);
        entry.core.addKnownEntries(List.of(ISSUER));
        long last = 0;
        for (int sequence = 1; sequence <= Relays.MAX_REMOTE_PENDING + 1; sequence++) {
            last = entry.submit(id(ISSUER, sequence), JOB);
        }

        entry.submit(id(near, 1), JOB);

        assertThat(entry.ending(last), is("UNKNOWN/OVERLOADED"));
        assertThat(relayed(near).submission(), is(id(near, 1)));
    }

    @Test
    void entryOfAnotherRegionMayAskForTheIdOfADeadEntryOfThisRegion() {
        PeerAddress dead = EntryFixture.entryAddress("entry-2");
        Incarnation agent = entry.agent("agent-1", 8);
        link(dead);
        entry.receive(
                dead.incarnation(), new Roster(dead.incarnation(), 1, List.of(EntryFixture.agentAddress("agent-1"))));
        entry.core.unlinked(dead.incarnation(), entry.now);
        entry.after(500);
        link(ISSUER);
        SubmissionId id = id(dead, 7);

        entry.receive(
                ISSUER.incarnation(), new RelayRequest(1, RelayRequest.Operation.SUBMIT, id, Optional.of(JOB), true));

        assertThat(entry.output.to(agent, Seal.class).get(0).submission(), is(id));
    }

    @Test
    void entryOfAnotherRegionIsToldNoRosters() {
        entry.agent("agent-1", 8);
        entry.issue();

        link(ISSUER);

        assertThat(entry.output.to(ISSUER.incarnation(), Roster.class), is(empty()));
    }
}
