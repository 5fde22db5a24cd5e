package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.message.CancelJob;
import org.knapweedmount.api.message.CancelReply;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.work.RunOutcome;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.dispatch.DispatcherFixture.AGENT;
import static org.knapweedmount.core.dispatch.DispatcherFixture.FIRST;
import static org.knapweedmount.core.dispatch.DispatcherFixture.JOB;
import static org.knapweedmount.core.dispatch.DispatcherFixture.OTHER_PEER;
import static org.knapweedmount.core.dispatch.DispatcherFixture.PEER;

/** What becomes of a job that its caller cancels, at whichever entry. */
class DispatcherCancelTest {
    private final DispatcherFixture fixture = new DispatcherFixture();
    private final Dispatcher dispatcher = fixture.dispatcher();

    private void cancel(long millis) {
        dispatcher.cancel(JOB, DispatchFixture.millisToNanos(millis));
    }

    private void link() {
        dispatcher.entryLinked(PEER, 0);
        fixture.receive(PEER, new JobOwnershipUpdate(List.of(), List.of()), 0);
    }

    @Test
    void cancelledJobIsAnsweredAndItsRunsAreStopped() {
        fixture.submit(0);

        cancel(10);

        assertThat(fixture.cancelResults(), contains(CancelResult.CANCELLED));
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.CANCELLED));
        assertThat(fixture.stopped(), contains(FIRST));
    }

    /** A cancel that reaches another entry than the holder must not be answered before the holder has ended the job. */
    @Test
    void cancelAtAnotherEntryIsConfirmedOnlyByTheHolder() {
        link();

        cancel(10);
        assertThat(fixture.sent(CancelJob.class), contains(new CancelJob(JOB)));
        assertThat(fixture.cancelResults(), is(empty()));

        fixture.receive(PEER, new CancelReply(JOB, true), 20);
        assertThat(fixture.cancelResults(), contains(CancelResult.CANCELLED));
    }

    @Test
    void holderEndsAJobThatIsCancelledAtAnotherEntry() {
        link();
        fixture.submit(0);

        fixture.receive(PEER, new CancelJob(JOB), 10);

        assertThat(fixture.answers(JOB), contains(JobResult.Kind.CANCELLED));
        assertThat(fixture.stopped(), contains(FIRST));
        assertThat(fixture.sent(CancelReply.class), contains(new CancelReply(JOB, true)));
    }

    @Test
    void jobThatNobodyHoldsIsSaidSoOnceAllEntriesHaveAnswered() {
        link();
        dispatcher.entryLinked(OTHER_PEER, 0);

        cancel(10);
        fixture.receive(PEER, new CancelReply(JOB, false), 20);
        assertThat(fixture.cancelResults(), is(empty()));

        fixture.receive(OTHER_PEER, new CancelReply(JOB, false), 30);
        assertThat(fixture.cancelResults(), contains(CancelResult.NOT_HELD));
    }

    @Test
    void cancelIsNotConfirmedIfAnEntryIsLostBeforeItsReply() {
        link();

        cancel(10);
        fixture.unlink(PEER, 20);

        assertThat(fixture.cancelResults(), contains(CancelResult.UNCONFIRMED));
    }

    @Test
    void cancelIsNotConfirmedIfAReplyIsMissing() {
        link();

        cancel(10);
        fixture.tick(1_010);
        assertThat(fixture.cancelResults(), is(empty()));

        fixture.tick(1_011);
        assertThat(fixture.cancelResults(), contains(CancelResult.UNCONFIRMED));
    }

    @Test
    void cancelIsNotConfirmedWhileAnEntryThatMayHoldTheJobIsCutOff() {
        link();
        fixture.receive(AGENT, new LinkedEntries(List.of(PEER), List.of()), 0);
        fixture.unlink(PEER, 5);

        cancel(10);

        assertThat(fixture.cancelResults(), contains(CancelResult.UNCONFIRMED));
    }

    /** A cancelled job must not run again when its request arrives again. */
    @Test
    void cancelledJobThatIsSubmittedAgainIsNotRun() {
        fixture.submit(0);
        cancel(10);
        fixture.sendResult(FIRST, RunOutcome.STOPPED, 30);

        fixture.submit(1_000);

        assertThat(fixture.ordered(), contains(FIRST));
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.CANCELLED, JobResult.Kind.CANCELLED));
    }

    /** The end of a cancelled job must not be told to other entries while a run of it is left. */
    @Test
    void cancelledJobThatIsSubmittedAgainIsHeldUntilItsRunsHaveEnded() {
        link();
        fixture.submit(0);
        fixture.tick(100);
        cancel(110);

        fixture.submit(120);
        fixture.tick(300);
        assertThat(fixture.reportsEnd(JOB), is(false));

        fixture.sendResult(FIRST, RunOutcome.STOPPED, 310);
        fixture.tick(400);
        assertThat(fixture.reportsEnd(JOB), is(true));
    }

    @Test
    void jobThatIsSubmittedToAnotherEntryAfterItsCancelIsNotRun() {
        link();
        fixture.receive(PEER, new CancelJob(JOB), 10);

        fixture.submit(1_000);

        assertThat(fixture.ordered(), is(empty()));
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.CANCELLED));
    }

    @Test
    void entryOnANewLinkIsToldOfTheCancelledJobs() {
        cancel(10);

        dispatcher.entryLinked(PEER, 0);

        assertThat(fixture.sent(CancelJob.class), contains(new CancelJob(JOB)));
    }

    @Test
    void cancelledJobsAreForgottenAfterAMinute() {
        fixture.receive(PEER, new CancelJob(JOB), 0);
        fixture.tick(60_000);
        fixture.submit(60_000);
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.CANCELLED));

        fixture.tick(60_001);
        fixture.submit(60_001);
        assertThat(fixture.answers(JOB), contains(JobResult.Kind.CANCELLED, JobResult.Kind.NOT_RUN));
    }

    @Test
    void repeatedCancelOfAJobThatWasEndedIsConfirmedAgain() {
        link();
        cancel(10);
        fixture.receive(PEER, new CancelReply(JOB, true), 20);

        cancel(30);

        assertThat(fixture.cancelResults(), contains(CancelResult.CANCELLED, CancelResult.CANCELLED));
    }

    @Test
    void jobWhoseCallerHasOnlyLeftRunsWhenItIsSubmittedAgain() {
        fixture.submit(0);
        dispatcher.callerLeft(JOB, DispatchFixture.millisToNanos(10));
        fixture.sendResult(FIRST, RunOutcome.STOPPED, 30);

        fixture.submit(1_000);

        assertThat(fixture.ordered(), contains(FIRST, FIRST));
    }
}
