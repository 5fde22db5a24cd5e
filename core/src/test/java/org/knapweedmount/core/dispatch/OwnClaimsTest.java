package org.knapweedmount.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Tests {@link OwnClaims}. */
class OwnClaimsTest {
    private static final Incarnation PEER = new Incarnation("entry-2", 1);
    private static final Incarnation OTHER_PEER = new Incarnation("entry-3", 1);

    private final OwnClaims claims = new OwnClaims();

    private static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static Optional<JobOwnershipUpdate> owned(String job) {
        return Optional.of(new JobOwnershipUpdate(List.of(new JobClaim(job, 0)), List.of()));
    }

    private static Optional<JobOwnershipUpdate> ended(String job) {
        return Optional.of(new JobOwnershipUpdate(List.of(), List.of(job)));
    }

    @Test
    void eachEntryIsToldEachChangeOnceWhoeverWasToldBefore() {
        claims.fullList(PEER, 0);
        claims.fullList(OTHER_PEER, 0);
        claims.add("a", 0);

        assertThat(claims.update(PEER, 0), is(owned("a")));
        assertThat(claims.update(PEER, 0), is(Optional.empty()));
        assertThat(claims.update(OTHER_PEER, 0), is(owned("a")));
        assertThat(claims.update(OTHER_PEER, 0), is(Optional.empty()));
    }

    @Test
    void entryIsToldTheStateOfAJobThatChangedSeveralTimes() {
        claims.fullList(PEER, 0);
        claims.fullList(OTHER_PEER, 0);
        claims.add("a", 0);
        claims.update(PEER, 0);
        claims.remove("a");

        assertThat(claims.update(PEER, 0), is(ended("a")));
        assertThat(claims.update(OTHER_PEER, 0), is(ended("a")));

        claims.add("a", 0);
        claims.remove("a");
        claims.add("a", 0);

        assertThat(claims.update(PEER, 0), is(owned("a")));
    }

    @Test
    void entryThatIsLinkedAgainIsToldAllJobsAndThenTheChanges() {
        claims.fullList(PEER, 0);
        claims.add("a", 0);
        claims.unlinked(PEER);
        claims.add("b", 0);
        assertThat(claims.update(PEER, 0), is(Optional.empty()));

        assertThat(
                claims.fullList(PEER, 0),
                is(new JobOwnershipUpdate(List.of(new JobClaim("a", 0), new JobClaim("b", 0)), List.of())));
        claims.remove("b");
        assertThat(claims.update(PEER, 0), is(ended("b")));
    }

    @Test
    void changesAreCollectedForATime() {
        claims.fullList(PEER, 0);
        claims.add("a", millisToNanos(99));

        assertThat(claims.pendingUpdate(PEER, millisToNanos(99)), is(Optional.empty()));
        assertThat(claims.pendingUpdate(PEER, millisToNanos(100)).isPresent(), is(true));
    }
}
