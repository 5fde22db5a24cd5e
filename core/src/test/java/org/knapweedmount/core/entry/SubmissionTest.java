package org.knapweedmount.core.entry;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.CancelTasks;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.entry.EntryFixture.LOOKUP;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.complete;
import static org.knapweedmount.core.entry.EntryFixture.failed;
import static org.knapweedmount.core.entry.EntryFixture.job;

class SubmissionTest {
    private final EntryFixture entry = new EntryFixture();
    private final Incarnation agent = entry.agent("agent-1", 8);

    @Test
    void sameIdWithAnotherBodyIsAConflictWhileRunningAndAfterwards() {
        entry.grant(agent, 1);
        SubmissionId id = entry.issue();
        entry.submit(id, job(RESERVE, "lens"));
        long whileRunning = entry.submit(id, job(RESERVE, "hood"));
        entry.finish(agent, entry.lastStart(), complete("reserved"));
        long afterwards = entry.submit(id, job(RESERVE, "hood"));

        assertThat(entry.outcomeAndReason(whileRunning), is("NOT_RUN/CONFLICT"));
        assertThat(entry.outcomeAndReason(afterwards), is("NOT_RUN/CONFLICT"));
        assertThat(entry.answer(afterwards).submission(), is(Optional.empty()));
        assertThat(entry.starts(), hasSize(1));
    }

    @Test
    void idWithADiscardedAnswerIsUnknownAndNeverRestarted() {
        entry.grant(agent, 200);
        SubmissionId id = entry.issue();
        entry.submit(id, job(RESERVE, "lens"));
        entry.finish(agent, entry.lastStart(), complete("reserved"));
        for (int i = 0; i < EntryFixture.LIMITS.maxEndedJobs(); i++) {
            entry.submit(entry.issue(), job(RESERVE, "lens " + i));
            entry.finish(agent, entry.lastStart(), complete("reserved"));
        }
        int starts = entry.starts().size();

        assertThat(entry.outcomeAndReason(entry.submit(id, job(RESERVE, "lens"))), is("UNKNOWN/FORGOTTEN"));
        assertThat(entry.starts(), hasSize(starts));
    }

    @Test
    void idThatWasNeverIssuedIsRefused() {
        SubmissionId issued = entry.issue();
        SubmissionId later = new SubmissionId(issued.issuer(), issued.sequence() + 1, issued.rosterVersion());
        SubmissionId otherVersion = new SubmissionId(issued.issuer(), issued.sequence(), issued.rosterVersion() + 1);

        assertThat(entry.outcomeAndReason(entry.submit(later, job(LOOKUP, "lens"))), is("NOT_RUN/UNKNOWN_SUBMISSION"));
        assertThat(
                entry.outcomeAndReason(entry.submit(otherVersion, job(LOOKUP, "lens"))),
                is("NOT_RUN/UNKNOWN_SUBMISSION"));
    }

    @Test
    void refusedIdStaysRefused() {
        SubmissionId id = entry.issue();
        entry.core.unlinked(agent, entry.now);
        assertThat(entry.outcomeAndReason(entry.submit(id, job(LOOKUP, "lens"))), is("NOT_RUN/NO_ENDPOINT"));

        entry.grant(entry.agent("agent-1", 8), 1);

        assertThat(entry.outcomeAndReason(entry.submit(id, job(LOOKUP, "lens"))), is("NOT_RUN/NO_ENDPOINT"));
        assertThat(entry.starts(), is(empty()));
    }

    @Test
    void unknownResultOfOneTaskMakesTheJobUnknown() {
        entry.grant(agent, 2);
        long request = entry.submit(job(RESERVE, "lens", "hood"));

        entry.finish(agent, entry.starts().get(0), failed(500));
        entry.finish(agent, entry.starts().get(1), TaskResult.of(Outcome.UNKNOWN, Reason.CONNECTION_LOST));

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/CONNECTION_LOST"));
    }

    @Test
    void jobWhoseOnlyStartIsDeniedByASealIsNotRun() {
        entry.grant(agent, 1);
        long request = entry.submit(job(RESERVE, "lens", "hood"));

        entry.deny(agent, entry.lastStart(), Reason.SEALED);
        entry.grant(agent, 1);

        assertThat(entry.outcomeAndReason(request), is("NOT_RUN/SEALED"));
        assertThat(entry.starts(), hasSize(1));
    }

    @Test
    void sealedTaskNextToACompleteOneFailsTheJob() {
        entry.grant(agent, 2);
        long request = entry.submit(job(RESERVE, "lens", "hood"));

        entry.finish(agent, entry.starts().get(0), complete("reserved"));
        entry.deny(agent, entry.starts().get(1), Reason.SEALED);

        assertThat(entry.outcomeAndReason(request), is("FAILED/SEALED"));
        assertThat(entry.answer(request).results(), is(empty()));
    }

    @Test
    void cancelledQueuedJobIsNotRunAndNeverStarts() {
        SubmissionId id = entry.issue();
        long request = entry.submit(id, job(RESERVE, "lens", "hood"));

        long cancel = entry.cancel(id);
        entry.grant(agent, 8);

        assertThat(entry.outcomeAndReason(request), is("NOT_RUN/CANCELLED"));
        assertThat(entry.outcomeAndReason(cancel), is("NOT_RUN/CANCELLED"));
        assertThat(entry.starts(), is(empty()));
        assertThat(entry.core.status(entry.now).queues(), is(empty()));
    }

    @Test
    void cancelledRunningJobIsAnsweredWhenItsAgentsHaveAnswered() {
        entry.grant(agent, 1);
        SubmissionId id = entry.issue();
        entry.submit(id, job(RESERVE, "lens", "hood"));

        long cancel = entry.cancel(id);
        assertThat(entry.answered(cancel), is(false));
        assertThat(entry.output.to(agent, CancelTasks.class), contains(new CancelTasks(id)));
        entry.finish(agent, entry.lastStart(), complete("reserved"));

        assertThat(entry.outcomeAndReason(cancel), is("FAILED/CANCELLED"));
    }

    @Test
    void lateCancellationGetsTheCompleteAnswer() {
        entry.grant(agent, 1);
        SubmissionId id = entry.issue();
        entry.submit(id, job(RESERVE, "lens"));
        long cancel = entry.cancel(id);

        entry.finish(agent, entry.lastStart(), complete("reserved"));

        assertThat(entry.answer(cancel), is(JobAnswer.complete(id, List.of(complete("reserved")))));
    }

    @Test
    void deniedTaskOfACancelledJobIsNotQueuedAgain() {
        entry.grant(agent, 1);
        SubmissionId id = entry.issue();
        entry.submit(id, job(RESERVE, "lens"));
        long cancel = entry.cancel(id);

        entry.deny(agent, entry.lastStart(), Reason.LEASE_LAPSED);
        entry.grant(agent, 1);

        assertThat(entry.outcomeAndReason(cancel), is("NOT_RUN/CANCELLED"));
        assertThat(entry.starts(), hasSize(1));
    }

    @Test
    void statusReturnsPendingAndThenTheAnswer() {
        entry.grant(agent, 1);
        SubmissionId id = entry.issue();
        entry.submit(id, job(RESERVE, "lens"));

        assertThat(entry.outcomeAndReason(entry.status(id, false)), is("PENDING/NONE"));
        long awaiting = entry.status(id, true);
        entry.finish(agent, entry.lastStart(), complete("reserved"));

        assertThat(entry.outcomeAndReason(awaiting), is("COMPLETE/NONE"));
        assertThat(entry.outcomeAndReason(entry.status(id, false)), is("COMPLETE/NONE"));
    }

    @Test
    void idQueriedBeforeSubmissionIsNeverStarted() {
        entry.grant(agent, 1);
        SubmissionId id = entry.issue();

        assertThat(entry.outcomeAndReason(entry.status(id, false)), is("NOT_RUN/UNKNOWN_SUBMISSION"));
        assertThat(entry.outcomeAndReason(entry.submit(id, job(RESERVE, "lens"))), is("NOT_RUN/UNKNOWN_SUBMISSION"));
        assertThat(entry.starts(), is(empty()));
    }
}
