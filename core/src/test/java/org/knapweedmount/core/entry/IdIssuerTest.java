package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.entry.IdIssuer.IdStatus;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class IdIssuerTest {
    private static final int WINDOW = 128;

    private final EntryContext context = new EntryContext(
            EntryFixture.LIMITS,
            EntryFixture.SELF,
            new ConfigState(),
            new RecordingOutput(),
            new Counters<>(EntryCounter.class),
            Invariants.fatal());
    private final LocalRoster roster = new LocalRoster(context);
    private final IdIssuer issuer = new IdIssuer(context, roster, new UsedIds(WINDOW));

    @Test
    void issuedIdIsUnusedUntilItIsMarked() {
        SubmissionId id = issuer.issue();

        assertThat(issuer.status(id), is(IdStatus.UNUSED));
        issuer.markUsed(id);
        assertThat(issuer.status(id), is(IdStatus.USED));
    }

    @Test
    void idThatLeavesTheWindowCountsAsUsed() {
        SubmissionId first = issuer.issue();
        SubmissionId second = issuer.issue();
        issuer.issue(WINDOW - 1);

        assertThat(issuer.status(first), is(IdStatus.USED));
        assertThat(issuer.status(second), is(IdStatus.UNUSED));
    }

    @Test
    void reusedBitOfTheWindowStartsUnused() {
        List<SubmissionId> ids = issuer.issue(WINDOW);
        ids.forEach(issuer::markUsed);

        assertThat(issuer.status(issuer.issue()), is(IdStatus.UNUSED));
    }

    @Test
    void unusedIdWithAnEvictedVersionIsExpired() {
        List<SubmissionId> ids = new ArrayList<>();
        IdIssuer large = new IdIssuer(context, roster, new UsedIds(1 << 10));
        for (int i = 0; i <= RosterHistory.MAX_VERSIONS; i++) {
            roster.add(EntryFixture.agentAddress("agent-" + i));
            ids.add(large.issue());
        }
        assertThat(large.status(ids.get(0)), is(IdStatus.EXPIRED));
        assertThat(large.status(ids.get(1)), is(IdStatus.UNUSED));

        large.markUsed(ids.get(0));
        assertThat(large.status(ids.get(0)), is(IdStatus.USED));
    }
}
