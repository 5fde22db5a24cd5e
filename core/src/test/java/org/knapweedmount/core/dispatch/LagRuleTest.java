package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.OwnershipProbe;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.knapweedmount.core.dispatch.DispatcherFixture.FIRST;
import static org.knapweedmount.core.dispatch.DispatcherFixture.JOB;
import static org.knapweedmount.core.dispatch.DispatcherFixture.PEER;

/** Requests that have waited for the processor of their entry; the job of 100 ms has to be done within 220 ms. */
class LagRuleTest {
    private final DispatcherFixture fixture = new DispatcherFixture();
    private final Dispatcher dispatcher = fixture.dispatcher();

    private void submit(long readMillis, long nowMillis) {
        fixture.tick(nowMillis);
        fixture.report(nowMillis, DispatcherFixture.CAPACITY_MILLI_CORES);
        dispatcher.submit(
                DispatchFixture.request(JOB, DispatchFixture.step(1, 1_000, 100)),
                DispatchFixture.millisToNanos(readMillis),
                DispatchFixture.millisToNanos(nowMillis));
    }

    private void linkPeer() {
        dispatcher.entryLinked(PEER, 0);
        fixture.receive(PEER, new JobOwnershipUpdate(List.of(), List.of()), 0);
    }

    @Test
    void requestThatHasWaitedShortlyIsServed() {
        submit(10, 100);

        assertThat(fixture.ordered(), contains(FIRST));
    }

    // An entry that was behind ordered runs for jobs that were late already, and fell further behind.
    @Test
    void requestIsRefusedAtOnceIfItsJobHasBecomeLateInTheQueueOfEvents() {
        submit(10, 131);

        assertThat(fixture.ordered(), is(empty()));
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.NOT_RUN));
    }

    // What is known of the other entries is as recent as the reading of the request requires.
    @Test
    void refusalSaysThatTheJobHasNotRunThoughOtherEntriesWereNotAskedSinceItWasRead() {
        linkPeer();
        submit(10, 131);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.NOT_RUN));
    }

    // The caller of a request that has waited for a second may have submitted the job to another entry since.
    @Test
    void refusalDoesNotSayThatAJobHasNotRunThatMayHaveBeenSubmittedElsewhereMeanwhile() {
        linkPeer();
        submit(10, 1_020);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
    }

    // Another entry may have admitted the job by what it knew before this request was decided.
    @Test
    void otherEntriesAreAskedForAJobThatIsDecidedLate() {
        linkPeer();
        int probes = fixture.sent(OwnershipProbe.class).size();
        submit(10, 115);

        assertThat(fixture.ordered(), is(empty()));
        assertThat(
                fixture.sent(OwnershipProbe.class)
                        .subList(probes, fixture.sent(OwnershipProbe.class).size()),
                is(not(empty())));
    }
}
