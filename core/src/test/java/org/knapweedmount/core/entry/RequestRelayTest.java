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

/** Tests requests for IDs that were issued in other regions, and requests that entries of other regions relay. */
class RequestRelayTest {
    private static final PeerAddress ISSUER = remote("far-1");
    private static final PeerAddress OTHER_IN_REGION = remote("far-2");
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

    private RelayRequest relayed(PeerAddress target) {
        return entry.output.to(target.incarnation(), RelayRequest.class).get(0);
    }

    private void answer(PeerAddress target, JobAnswer answer) {
        entry.receive(target.incarnation(), new RelayAnswer(relayed(target).request(), answer));
    }

    @Test
    void linkIsOpenedOnceToTheIssuerAndTheRequestsSentOverIt() {
        entry.core.addKnownEntries(List.of(ISSUER, OTHER_IN_REGION));
        long request = entry.submit(ID, JOB);
        entry.submit(id(ISSUER, 6), JOB);
        assertThat(entry.output.connected, contains(ISSUER));

        link(ISSUER);
        JobAnswer answer = JobAnswer.complete(ID, List.of(complete("reserved")));
        answer(ISSUER, answer);

        assertThat(entry.output.to(ISSUER.incarnation(), RelayRequest.class), hasSize(2));
        assertThat(entry.answer(request), is(answer));
    }

    @Test
    void unreachableIssuerIsReplacedByAnotherEntryOfItsRegion() {
        entry.core.addKnownEntries(List.of(ISSUER, OTHER_IN_REGION));
        long request = entry.submit(ID, JOB);
        entry.advance(2_000);
        assertThat(entry.output.connected, contains(ISSUER, OTHER_IN_REGION));

        link(OTHER_IN_REGION);
        JobAnswer answer = JobAnswer.complete(ID, List.of(complete("reserved")));
        answer(OTHER_IN_REGION, answer);

        assertThat(entry.answer(request), is(answer));
    }

    @Test
    void unreachableRegionMakesTheOutcomeUnknown() {
        entry.core.addKnownEntries(List.of(ISSUER, OTHER_IN_REGION, remote("far-3"), remote("far-4")));
        long request = entry.submit(ID, JOB);
        entry.advance(2_000);
        entry.advance(2_000);
        assertThat(entry.answered(request), is(false));
        entry.advance(2_000);

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/CONNECTION_LOST"));
        assertThat(entry.output.connected, hasSize(3));
    }

    @Test
    void pendingRequestIsResentOnTheNextLink() {
        entry.core.addKnownEntries(List.of(ISSUER));
        entry.submit(ID, JOB);
        link(ISSUER);
        entry.core.unlinked(ISSUER.incarnation(), entry.now);
        link(ISSUER);

        assertThat(entry.output.connected, contains(ISSUER, ISSUER));
        assertThat(entry.output.to(ISSUER.incarnation(), RelayRequest.class), hasSize(2));
    }

    @Test
    void requestsForAnUnreachableRegionDoNotBlockLocalOnes() {
        PeerAddress local = EntryFixture.entryAddress("entry-2");
        link(local);
        entry.core.addKnownEntries(List.of(ISSUER));
        long last = 0;
        for (int sequence = 1; sequence <= RequestRelay.MAX_PENDING_REMOTE_REQUESTS + 1; sequence++) {
            last = entry.submit(id(ISSUER, sequence), JOB);
        }

        entry.submit(id(local, 1), JOB);

        assertThat(entry.outcomeAndReason(last), is("UNKNOWN/OVERLOADED"));
        assertThat(relayed(local).submission(), is(id(local, 1)));
    }

    @Test
    void entryOfAnotherRegionMaySubmitAnIdOfALostLocalEntry() {
        PeerAddress lost = EntryFixture.entryAddress("entry-2");
        Incarnation agent = entry.agent("agent-1", 8);
        link(lost);
        entry.receive(
                lost.incarnation(), new Roster(lost.incarnation(), 1, List.of(EntryFixture.agentAddress("agent-1"))));
        entry.core.unlinked(lost.incarnation(), entry.now);
        entry.advance(500);
        link(ISSUER);
        SubmissionId id = id(lost, 7);

        entry.receive(
                ISSUER.incarnation(), new RelayRequest(1, RelayRequest.Operation.SUBMIT, id, Optional.of(JOB), true));

        assertThat(entry.output.to(agent, Seal.class).get(0).submission(), is(id));
    }

    @Test
    void entryOfAnotherRegionGetsNoRosters() {
        entry.agent("agent-1", 8);
        entry.issue();

        link(ISSUER);

        assertThat(entry.output.to(ISSUER.incarnation(), Roster.class), is(empty()));
    }
}
