package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.message.JobOwnershipUpdate;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.knapweedmount.core.dispatch.DispatcherFixture.JOB;
import static org.knapweedmount.core.dispatch.DispatcherFixture.PEER;

/** What becomes of requests at the end of the drain before a planned stop: the process may end at any time after it. */
class DispatcherDrainTest {
    private final DispatcherFixture fixture = new DispatcherFixture();
    private final Dispatcher dispatcher = fixture.dispatcher();

    private void finishDrain() {
        dispatcher.finishDrain(DispatchFixture.millisToNanos(100));
    }

    /** The request waited for an entry that had just started until the process ended, and its caller got no answer. */
    @Test
    void requestReadAfterTheDrainDoesNotWaitForAnotherEntry() {
        dispatcher.entryLinked(PEER, 0);
        finishDrain();

        fixture.submit(110);

        assertThat(fixture.answers(JOB), hasSize(1));
    }

    /** An entry may be stopped right after its start, while it holds all requests. */
    @Test
    void requestReadAfterTheDrainIsNotHeldBecauseOfTheStart() {
        dispatcher.startupEntries().started(0);
        finishDrain();

        fixture.submit(110);

        assertThat(fixture.answers(JOB), hasSize(1));
    }

    /** After a pause, requests are held until closed connections are found. */
    @Test
    void requestReadAfterTheDrainIsNotHeldBecauseOfAPause() {
        fixture.tick(0);
        finishDrain();

        fixture.submit(1_350);

        assertThat(fixture.answers(JOB), hasSize(1));
    }

    @Test
    void cancelThatOtherEntriesHaveNotConfirmedIsAnsweredAtTheEndOfTheDrain() {
        dispatcher.entryLinked(PEER, 0);
        fixture.receive(PEER, new JobOwnershipUpdate(List.of(), List.of()), 0);
        dispatcher.cancel(JOB, DispatchFixture.millisToNanos(90));

        finishDrain();

        assertThat(fixture.cancelResults(), contains(CancelResult.UNCONFIRMED));
    }

    @Test
    void cancelReadAfterTheDrainIsAnsweredAtOnce() {
        dispatcher.entryLinked(PEER, 0);
        fixture.receive(PEER, new JobOwnershipUpdate(List.of(), List.of()), 0);
        finishDrain();

        dispatcher.cancel(JOB, DispatchFixture.millisToNanos(110));

        assertThat(fixture.cancelResults(), contains(CancelResult.UNCONFIRMED));
    }
}
