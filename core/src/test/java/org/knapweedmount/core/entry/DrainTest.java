package org.knapweedmount.core.entry;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Release;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.SERVICE;
import static org.knapweedmount.core.entry.EntryFixture.complete;
import static org.knapweedmount.core.entry.EntryFixture.job;

class DrainTest {
    private static final JobSpec JOB = job(RESERVE, "lens");

    private final EntryFixture entry = new EntryFixture();
    private final Incarnation agent = entry.agent("agent-1", 8);

    @Test
    void drainingEntryFinishesAcceptedJobsAndRefusesNewOnes() {
        PeerAddress peer = EntryFixture.entryAddress("entry-2");
        entry.core.linked(peer, entry.now);
        SubmissionId unused = entry.issue();
        SubmissionId id = entry.issue();
        long accepted = entry.submit(id, JOB);

        entry.core.drain(entry.now);

        assertThat(entry.output.to(agent, Leaving.class), hasSize(1));
        assertThat(entry.output.to(peer.incarnation(), Leaving.class), hasSize(1));
        assertThat(entry.outcomeAndReason(entry.submit(unused, JOB)), is("NOT_RUN/DRAINING"));
        assertThat(entry.outcomeAndReason(entry.submit(JOB)), is("NOT_RUN/DRAINING"));
        long joined = entry.submit(id, JOB);
        assertThat(entry.core.idle(), is(false));
        entry.grant(agent, 1);
        entry.finish(agent, entry.lastStart(), complete("reserved"));
        assertThat(entry.outcomeAndReason(accepted), is("COMPLETE/NONE"));
        assertThat(entry.outcomeAndReason(joined), is("COMPLETE/NONE"));
        assertThat(entry.core.idle(), is(true));
        assertThat(entry.core.status(entry.now).ready(), is(false));
    }

    @Test
    void idleAndLaterLeasesAreReleased() {
        long first = entry.grant(agent, 2);
        entry.core.drain(entry.now);
        long later = entry.grant(agent, 1);

        assertThat(
                entry.output.to(agent, Release.class),
                contains(new Release(SERVICE, List.of(first, first + 1)), new Release(SERVICE, List.of(later))));
    }
}
