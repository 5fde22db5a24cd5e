package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.CancelTasks;
import org.knapweedmount.api.message.RelayAnswer;
import org.knapweedmount.api.message.RelayRequest;
import org.knapweedmount.api.message.RelayRequest.Operation;
import org.knapweedmount.api.message.Roster;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.agentAddress;
import static org.knapweedmount.core.entry.EntryFixture.complete;
import static org.knapweedmount.core.entry.EntryFixture.failed;
import static org.knapweedmount.core.entry.EntryFixture.job;

class ForeignSubmissionTest {
    private static final PeerAddress ISSUER = EntryFixture.entryAddress("entry-2");
    private static final SubmissionId ID = new SubmissionId(ISSUER.incarnation(), 5, 1);
    private static final JobSpec JOB = job(RESERVE, "lens", "hood");

    private final EntryFixture entry = new EntryFixture();
    private final Incarnation first = entry.agent("agent-1", 8);
    private final Incarnation second = entry.agent("agent-2", 8);

    private void linkIssuer() {
        entry.core.linked(ISSUER, entry.now);
        List<PeerAddress> agents = List.of(agentAddress("agent-1"), agentAddress("agent-2"));
        entry.receive(ISSUER.incarnation(), new Roster(ISSUER.incarnation(), 1, agents));
    }

    /** Links the issuer, receives its roster and breaks the link until the issuer counts as lost. */
    private void loseIssuer() {
        linkIssuer();
        entry.core.unlinked(ISSUER.incarnation(), entry.now);
        entry.advance(500);
    }

    private void sealed(Incarnation agent, boolean certain, TaskReport... reports) {
        List<Seal> seals = entry.output.to(agent, Seal.class);
        Seal seal = seals.get(seals.size() - 1);
        entry.receive(agent, new Sealed(seal.request(), seal.submission(), certain, List.of(reports)));
    }

    private static TaskReport report(int index, TaskState state) {
        return new TaskReport(ID.task(index), state, Optional.empty());
    }

    private static TaskReport finished(int index, TaskResult result) {
        return new TaskReport(ID.task(index), TaskState.FINISHED, Optional.of(result));
    }

    @Test
    void requestIsRelayedToTheIssuerAndItsAnswerPassedOn() {
        linkIssuer();
        long request = entry.submit(ID, JOB);

        RelayRequest relayed =
                entry.output.to(ISSUER.incarnation(), RelayRequest.class).get(0);
        assertThat(relayed, is(new RelayRequest(1, Operation.SUBMIT, ID, Optional.of(JOB), true)));
        JobAnswer answer = JobAnswer.complete(ID, List.of(complete("1"), complete("2")));
        entry.receive(ISSUER.incarnation(), new RelayAnswer(relayed.request(), answer));
        entry.receive(ISSUER.incarnation(), new RelayAnswer(relayed.request(), answer));

        assertThat(entry.answer(request), is(answer));
    }

    @Test
    void requestIsResentWhenTheIssuerIsRelinkedInTime() {
        linkIssuer();
        long request = entry.submit(ID, JOB);
        entry.core.unlinked(ISSUER.incarnation(), entry.now);
        entry.advance(400);
        linkIssuer();

        assertThat(entry.output.to(ISSUER.incarnation(), RelayRequest.class), hasSize(2));
        entry.advance(1_000);
        assertThat(entry.output.all(Seal.class), is(empty()));
        assertThat(entry.answered(request), is(false));
    }

    @Test
    void requestIsSettledWhenTheIssuerIsNotRelinkedInTime() {
        linkIssuer();
        entry.submit(ID, JOB);
        entry.core.unlinked(ISSUER.incarnation(), entry.now);

        entry.advance(500);

        assertThat(entry.output.to(first, Seal.class), contains(new Seal(1, ID)));
        assertThat(entry.output.to(second, Seal.class), contains(new Seal(1, ID)));
    }

    @Test
    void nothingStartedAndEveryAgentCertainIsNotRun() {
        loseIssuer();
        long request = entry.submit(ID, JOB);

        sealed(first, true);
        assertThat(entry.answered(request), is(false));
        sealed(second, true, report(0, TaskState.NOT_STARTED));

        assertThat(entry.outcomeAndReason(request), is("NOT_RUN/SEALED"));
        assertThat(entry.outcomeAndReason(entry.submit(ID, JOB)), is("NOT_RUN/SEALED"));
        assertThat(entry.output.to(first, Seal.class), hasSize(1));
    }

    @Test
    void completeAnswerDoesNotWaitForOtherAgents() {
        loseIssuer();
        long request = entry.submit(ID, JOB);

        sealed(first, false, finished(1, complete("2")), finished(0, complete("1")));

        assertThat(entry.answer(request).results(), contains(complete("1"), complete("2")));
    }

    @Test
    void failedTaskWithEveryAgentCertainIsFailed() {
        loseIssuer();
        long request = entry.submit(ID, JOB);

        sealed(first, true, finished(0, failed(500)));
        sealed(second, true, finished(1, complete("2")));

        assertThat(entry.outcomeAndReason(request), is("FAILED/TASK_FAILED"));
        assertThat(entry.answer(request).detail(), is("task 0 failed with status 500"));
        assertThat(
                entry.answer(request).tasks(),
                contains(failed(500), complete("2").withoutBody()));
    }

    @Test
    void partlyStartedJobIsFailed() {
        loseIssuer();
        long request = entry.submit(ID, JOB);

        sealed(first, true, finished(0, complete("1")));
        sealed(second, true);

        assertThat(entry.outcomeAndReason(request), is("FAILED/SEALED"));
        assertThat(
                entry.answer(request).tasks(),
                contains(complete("1").withoutBody(), TaskResult.of(Outcome.NOT_RUN, Reason.SEALED)));
    }

    @Test
    void agentThatIsNotCertainMakesTheOutcomeUnknown() {
        loseIssuer();
        long request = entry.submit(ID, JOB);

        sealed(first, true);
        sealed(second, false);

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/FORGOTTEN"));
    }

    @Test
    void taskWithUnknownOutcomeDeterminesTheReason() {
        loseIssuer();
        long request = entry.submit(ID, JOB);

        sealed(first, true, finished(0, TaskResult.of(Outcome.UNKNOWN, Reason.CONNECTION_LOST)));
        sealed(second, true, finished(1, complete("2")));

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/CONNECTION_LOST"));
    }

    @Test
    void agentThatCannotBeReachedMakesTheOutcomeUnknownAfterTheTimeLimit() {
        loseIssuer();
        entry.core.unlinked(second, entry.now);
        long request = entry.submit(ID, JOB);
        sealed(first, true);

        entry.advance(2_999);
        assertThat(entry.answered(request), is(false));
        entry.advance(1);

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/CONNECTION_LOST"));
    }

    @Test
    void agentLinkedBeforeTheDeadlineIsAsked() {
        loseIssuer();
        entry.core.unlinked(second, entry.now);
        long request = entry.submit(ID, JOB);
        sealed(first, true);

        entry.agent("agent-2", 8);
        sealed(second, true);

        assertThat(entry.outcomeAndReason(request), is("NOT_RUN/SEALED"));
    }

    @Test
    void runningTasksArePolledUntilTheyEnd() {
        loseIssuer();
        long request = entry.submit(ID, JOB);
        sealed(first, true, report(0, TaskState.RUNNING));
        sealed(second, true, finished(1, complete("2")));
        assertThat(entry.answered(request), is(false));

        entry.advance(100);
        assertThat(entry.output.to(first, Seal.class), hasSize(2));
        sealed(first, true, finished(0, complete("1")));

        assertThat(entry.outcomeAndReason(request), is("COMPLETE/NONE"));
        assertThat(entry.output.to(second, Seal.class), hasSize(1));
    }

    @Test
    void runningTasksArePendingForStatusAndUnknownAfterTheTimeLimit() {
        loseIssuer();
        long request = entry.submit(ID, JOB);
        long status = entry.status(ID, false);
        sealed(first, true, report(0, TaskState.RUNNING));
        sealed(second, true);

        assertThat(entry.outcomeAndReason(status), is("PENDING/NONE"));
        entry.advance(3_000);

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/TIMEOUT"));
    }

    @Test
    void cancellationStopsRunningTasks() {
        loseIssuer();
        entry.cancel(ID);

        sealed(first, true, report(0, TaskState.RUNNING));

        assertThat(entry.output.to(first, CancelTasks.class), contains(new CancelTasks(ID)));
    }

    @Test
    void unknownRosterMakesTheOutcomeUnknown() {
        long request = entry.submit(ID, JOB);

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/CONNECTION_LOST"));
    }

    @Test
    void numberOfTasksIsNeededForACompleteAnswer() {
        loseIssuer();
        long request = entry.status(ID, true);

        sealed(first, true, finished(0, complete("1")));
        sealed(second, true);

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/SEALED"));
    }

    @Test
    void relayedRequestForALocalIdIsAnsweredOnItsLink() {
        linkIssuer();
        SubmissionId own = entry.issue();
        RelayRequest relayed = new RelayRequest(9, Operation.SUBMIT, own, Optional.of(job(RESERVE, "lens")), true);
        entry.grant(first, 1);

        entry.receive(ISSUER.incarnation(), relayed);
        entry.receive(ISSUER.incarnation(), relayed);
        entry.finish(first, entry.lastStart(), complete("reserved"));

        JobAnswer answer = JobAnswer.complete(own, List.of(complete("reserved")));
        assertThat(entry.output.to(ISSUER.incarnation(), RelayAnswer.class), contains(new RelayAnswer(9, answer)));
        assertThat(entry.starts(), hasSize(1));
    }

    @Test
    void localSubmissionWithUnknownOutcomeIsSettledOnResubmission() {
        entry.grant(first, 1);
        SubmissionId own = entry.issue();
        JobSpec job = job(RESERVE, "lens");
        entry.submit(own, job);
        entry.core.unlinked(first, entry.now);
        entry.advance(5_000);
        entry.agent("agent-1", 8);

        long request = entry.submit(own, job);
        long conflict = entry.submit(own, job(RESERVE, "hood"));
        Seal seal = entry.output.to(first, Seal.class).get(0);
        TaskReport report = new TaskReport(own.task(0), TaskState.FINISHED, Optional.of(complete("reserved")));
        entry.receive(first, new Sealed(seal.request(), own, true, List.of(report)));

        assertThat(entry.outcomeAndReason(request), is("COMPLETE/NONE"));
        assertThat(entry.outcomeAndReason(conflict), is("NOT_RUN/CONFLICT"));
        assertThat(entry.starts(), hasSize(1));
    }

    @Test
    void rosterVersionsAreSentBeforeTheirIdsAndToEntriesLinkedLater() {
        linkIssuer();
        entry.issue();
        entry.agent("agent-3", 8);
        entry.agent("agent-4", 8);
        entry.issue();
        PeerAddress later = EntryFixture.entryAddress("entry-3");
        entry.core.linked(later, entry.now);

        List<Integer> sizes = new ArrayList<>();
        entry.output
                .to(ISSUER.incarnation(), Roster.class)
                .forEach(roster -> sizes.add(roster.agents().size()));
        assertThat(sizes, contains(2, 4));
        assertThat(
                entry.output.to(later.incarnation(), Roster.class),
                is(entry.output.to(ISSUER.incarnation(), Roster.class)));
    }
}
