package org.knapweedmount.core.entry;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.RelayAnswer;
import org.knapweedmount.api.message.RelayRequest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.TEAM;
import static org.knapweedmount.core.entry.EntryFixture.complete;
import static org.knapweedmount.core.entry.EntryFixture.job;

class KeyClaimsTest {
    private static final JobSpec JOB = job(RESERVE, "lens");
    private static final String CLAIM_NAME = TEAM + "/fault-17";

    private final EntryFixture entry = new EntryFixture();
    private final Incarnation agent = entry.agent("agent-1", 8);

    private long submit(boolean firstAttempt, JobSpec job) {
        return entry.submit(Optional.empty(), Optional.of("fault-17"), firstAttempt, job);
    }

    private SubmissionId proposed() {
        return Optional.ofNullable(entry.output.claims.get(CLAIM_NAME)).orElseThrow();
    }

    private void claimed(Optional<SubmissionId> claimedId) {
        entry.core.claimCompleted(CLAIM_NAME, proposed(), new ClaimResult(claimedId), entry.now);
    }

    @Test
    void keyIsClaimedBeforeAnythingStarts() {
        entry.grant(agent, 1);
        long request = submit(true, JOB);
        assertThat(entry.starts(), is(empty()));

        claimed(Optional.of(proposed()));

        assertThat(entry.lastStart().task().submission(), is(proposed()));
        entry.finish(agent, entry.lastStart(), complete("reserved"));
        assertThat(entry.outcomeAndReason(request), is("COMPLETE/NONE"));
        assertThat(entry.core.findClaimedId(TEAM, "fault-17"), is(Optional.of(proposed())));
    }

    @Test
    void secondRequestWithTheKeyJoinsBeforeAndAfterTheClaim() {
        entry.grant(agent, 2);
        long before = submit(true, JOB);
        long joined = submit(false, JOB);
        claimed(Optional.of(proposed()));
        long after = submit(false, JOB);
        entry.finish(agent, entry.lastStart(), complete("reserved"));
        long ended = submit(false, JOB);

        for (long request : new long[] {before, joined, after, ended}) {
            assertThat(entry.answer(request).results(), contains(complete("reserved")));
        }
        assertThat(entry.starts(), hasSize(1));
    }

    @Test
    void otherBodyUnderTheKeyIsAConflict() {
        submit(true, JOB);
        long whilePending = submit(false, job(RESERVE, "hood"));
        claimed(Optional.of(proposed()));

        assertThat(entry.outcomeAndReason(whilePending), is("NOT_RUN/CONFLICT"));
        assertThat(entry.outcomeAndReason(submit(false, job(RESERVE, "hood"))), is("NOT_RUN/CONFLICT"));
    }

    @Test
    void keyOfAnotherEntryIsRelayedToIt() {
        Incarnation other = EntryFixture.entryAddress("entry-2").incarnation();
        entry.core.linked(EntryFixture.entryAddress("entry-2"), entry.now);
        submit(false, JOB);
        SubmissionId claimedId = new SubmissionId(other, 9, 1);

        claimed(Optional.of(claimedId));

        assertThat(entry.output.to(other, RelayRequest.class).get(0).submission(), is(claimedId));
        assertThat(entry.starts(), is(empty()));
    }

    @Test
    void failedClaimIsNotRunForAFirstAttemptAndUnknownForALaterOne() {
        entry.grant(agent, 1);
        long first = submit(true, JOB);
        long later = submit(false, JOB);
        SubmissionId lost = proposed();

        claimed(Optional.empty());

        assertThat(entry.outcomeAndReason(first), is("NOT_RUN/STORE_UNAVAILABLE"));
        assertThat(entry.outcomeAndReason(later), is("UNKNOWN/STORE_UNAVAILABLE"));
        // The claim may have taken effect; the key is then bound to an ID that never starts.
        long again = submit(false, JOB);
        claimed(Optional.of(lost));
        assertThat(entry.outcomeAndReason(again), is("NOT_RUN/STORE_UNAVAILABLE"));
        assertThat(entry.starts(), is(empty()));
    }

    @Test
    void refusalBeforeTheClaimIsNotRunOnlyForAFirstAttempt() {
        entry.core.unlinked(agent, entry.now);

        assertThat(entry.outcomeAndReason(submit(true, JOB)), is("NOT_RUN/NO_ENDPOINT"));
        long again = submit(false, JOB);
        long joined = submit(false, JOB);
        assertThat(entry.output.lookUps, contains(CLAIM_NAME));
        assertThat(entry.answered(again), is(false));
        assertThat(entry.core.idle(), is(false));

        entry.core.lookUpCompleted(CLAIM_NAME, Optional.empty(), entry.now);

        assertThat(entry.outcomeAndReason(again), is("UNKNOWN/NO_ENDPOINT"));
        assertThat(entry.outcomeAndReason(joined), is("UNKNOWN/NO_ENDPOINT"));
        assertThat(entry.output.claims.keySet(), is(empty()));
    }

    @Test
    void entryWithoutEndpointsRelaysAKeyThatAnotherEntryHasClaimed() {
        PeerAddress other = EntryFixture.entryAddress("entry-2");
        entry.core.linked(other, entry.now);
        entry.core.unlinked(agent, entry.now);
        SubmissionId claimedId = new SubmissionId(other.incarnation(), 9, 1);
        long request = submit(false, JOB);

        entry.core.lookUpCompleted(CLAIM_NAME, Optional.of(claimedId), entry.now);
        RelayRequest relayed =
                entry.output.to(other.incarnation(), RelayRequest.class).get(0);
        JobAnswer answer = JobAnswer.complete(claimedId, List.of(complete("reserved")));
        entry.receive(other.incarnation(), new RelayAnswer(relayed.request(), answer));

        assertThat(relayed.submission(), is(claimedId));
        assertThat(entry.answer(request), is(answer));
    }
}
