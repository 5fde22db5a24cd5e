package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LinkedEntries;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.knapweedmount.core.dispatch.DispatcherFixture.AGENT;
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

    /** "Not run" is only said if no other entry may run the job. */
    @Test
    void requestReadAfterTheDrainIsNotSaidNotToHaveRunIfAnotherEntryHoldsItsJob() {
        dispatcher.entryLinked(PEER, 0);
        fixture.receive(PEER, new JobOwnershipUpdate(List.of(new JobClaim(JOB, 10)), List.of()), 0);
        finishDrain();

        fixture.submit(110);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
    }

    @Test
    void requestReadAfterTheDrainIsNotSaidNotToHaveRunIfItsJobHasRunsLeftHere() {
        fixture.submit(10);
        assertThat("ordered", fixture.ordered(), hasSize(1));
        finishDrain();

        fixture.submit(110);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP, JobResult.Kind.GIVEN_UP));
    }

    @Test
    void requestReadAfterTheDrainIsNotSaidNotToHaveRunRightAfterAStart() {
        dispatcher.startupEntries().started(0);
        finishDrain();

        fixture.submit(110);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
    }

    @Test
    void requestReadAfterTheDrainIsRefusedIfNoOtherEntryMayRunItsJob() {
        finishDrain();

        fixture.submit(110);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.NOT_RUN));
    }

    /** A job that waits here for a run may be run by an entry that has become known since. */
    @Test
    void queuedJobIsNotSaidNotToHaveRunAtTheEndOfTheDrainIfAnotherEntryMayRunIt() {
        fixture.report(0, 0);
        fixture.submit(10);
        fixture.receive(AGENT, new LinkedEntries(List.of(PEER), List.of()), 20);
        assertThat("ordered", fixture.ordered(), hasSize(0));

        finishDrain();

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
    }

    /** A job runs on until its deadline if its worker is slow, and was given up at the end of the drain. */
    @Test
    void jobWhoseDeadlineIsAfterTheDrainIsRefusedAtOnce() {
        dispatcher.beginDrain(DispatchFixture.millisToNanos(1_509));

        fixture.submit(JOB, 10, 1_500, 300);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.NOT_RUN));
        assertThat(fixture.ordered(), hasSize(0));
    }

    /** A request that could not be admitted any more waited until the end of the stop, and was given up then. */
    @Test
    void requestThatWillBeRefusedDoesNotWaitUntilTheEndOfTheDrain() {
        dispatcher.entryLinked(PEER, 0);
        dispatcher.beginDrain(DispatchFixture.millisToNanos(1_000));
        fixture.submit(JOB, 10, 1_500, 300);

        for (long millis = 25; millis <= 150; millis += 15) {
            fixture.tick(millis);
        }

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.GIVEN_UP));
    }

    @Test
    void requestThatWillBeRefusedIsSaidNotToHaveRunOnceThatIsKnown() {
        dispatcher.entryLinked(PEER, 0);
        dispatcher.beginDrain(DispatchFixture.millisToNanos(1_000));
        fixture.submit(JOB, 10, 1_500, 300);

        fixture.receive(PEER, new JobOwnershipUpdate(List.of(), List.of()), 50);
        fixture.answerProbes(PEER, 50);
        fixture.tick(51);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.NOT_RUN));
    }

    @Test
    void jobThatIsAdmittedDuringTheDrainIsOverBeforeItEndsAlsoIfItsWorkerIsSlow() {
        dispatcher.beginDrain(DispatchFixture.millisToNanos(1_510));
        fixture.submit(JOB, 10, 1_500, 300);
        assertThat("admitted", fixture.ordered(), hasSize(1));

        for (long millis = 25; millis <= 1_510; millis += 15) {
            fixture.report(millis, 3_000);
            fixture.tick(millis);
        }

        assertThat(fixture.answers(JOB), hasSize(1));
    }
}
