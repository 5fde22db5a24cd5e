package org.knapweedmount.core.agent;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.message.CancelTasks;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Resume;
import org.knapweedmount.api.message.Resumed;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.agent.AgentFixture.BALANCE;
import static org.knapweedmount.core.agent.AgentFixture.COMPLETED;
import static org.knapweedmount.core.agent.AgentFixture.E1;
import static org.knapweedmount.core.agent.AgentFixture.E2;
import static org.knapweedmount.core.agent.AgentFixture.FAILED;
import static org.knapweedmount.core.agent.AgentFixture.SERVICE;
import static org.knapweedmount.core.agent.AgentFixture.UNREACHABLE;

class AgentRecordTest {
    private static final int MAX_RECORDS = 3;
    private static final int MAX_RESULT_BYTES = 1_000;
    private static final int MAX_SEALS = 2;

    private final AgentFixture fixture =
            new AgentFixture(new AgentLimits(MAX_RECORDS, MAX_RESULT_BYTES, MAX_SEALS, 1_500, 5, 2_000));

    AgentRecordTest() {
        fixture.link(E1, E2);
        fixture.announce("a", 100);
    }

    @Test
    void sealBeforeTheStartKeepsTheTaskFromRunning() {
        TaskId task = fixture.newTask(E1);

        assertThat(seal(task.submission()), is(sealed(task.submission(), true)));
        fixture.receive(E1, fixture.start(E1, lease(), task, BALANCE, 0));

        assertThat(
                fixture.output.take(E1, NotStarted.class),
                contains(new NotStarted(task, fixture.sequence(E1), Reason.SEALED)));
        assertThat(fixture.output.takeStarted().keySet(), is(empty()));
        assertThat(fixture.counters.value(AgentCounter.SEALED_STARTS), is(1L));
    }

    @Test
    void sealAfterTheStartReportsTheTaskWhichContinues() {
        TaskId task = start();

        TaskReport running = new TaskReport(task, TaskState.RUNNING, Optional.empty());
        assertThat(seal(task.submission()), is(sealed(task.submission(), true, running)));
        fixture.end(task, COMPLETED);

        assertThat(fixture.output.take(E1, Finished.class).get(0).result(), is(COMPLETED));
        assertThat(seal(task.submission()), is(sealed(task.submission(), true, finished(task, COMPLETED))));
    }

    @Test
    void submissionWhoseRecordMayHaveBeenDiscardedIsAnsweredWithoutCertainty() {
        TaskId first = start();
        fixture.end(first, COMPLETED);
        for (int i = 0; i < MAX_RECORDS; i++) {
            fixture.end(start(), COMPLETED);
        }
        TaskId later = fixture.newTask(E1);

        assertThat(seal(first.submission()), is(sealed(first.submission(), false)));
        assertThat(seal(later.submission()), is(sealed(later.submission(), true)));
        assertThat(fixture.counters.value(AgentCounter.EVICTED_RECORDS), is(1L));
        assertThat(fixture.counters.value(AgentCounter.UNCERTAIN_SEALS), is(1L));
    }

    @Test
    void discardedSubmissionStaysUncertainWhenAnotherOfItsTasksStarts() {
        TaskId first = start();
        fixture.end(first, COMPLETED);
        for (int i = 0; i < MAX_RECORDS; i++) {
            fixture.end(start(), COMPLETED);
        }
        TaskId second = first.submission().task(1);

        fixture.receive(E1, fixture.start(E1, lease(), second, BALANCE, 0));

        TaskReport running = new TaskReport(second, TaskState.RUNNING, Optional.empty());
        assertThat(seal(first.submission()), is(sealed(first.submission(), false, running)));
    }

    @Test
    void runningSubmissionIsNotDiscarded() {
        TaskId running = start();
        for (int i = 0; i < MAX_RECORDS; i++) {
            fixture.end(start(), COMPLETED);
        }

        TaskReport report = new TaskReport(running, TaskState.RUNNING, Optional.empty());
        assertThat(seal(running.submission()), is(sealed(running.submission(), true, report)));
    }

    @Test
    void resultsAreDiscardedWhenTheirBytesExceedTheBound() {
        int largest = MAX_RESULT_BYTES / 4 - TaskRecord.RESULT_OVERHEAD_BYTES;
        TaskResult large = TaskResult.complete(200, "", Payload.of("x".repeat(largest)));
        limitRecordsToBytes(large);

        TaskResult tooLarge = TaskResult.complete(200, "", Payload.of("x".repeat(largest + 1)));
        TaskId task = start();
        fixture.end(task, tooLarge);

        TaskReport report = new TaskReport(task, TaskState.FINISHED, Optional.empty());
        assertThat(seal(task.submission()), is(sealed(task.submission(), true, report)));
    }

    private void limitRecordsToBytes(TaskResult large) {
        SubmissionId job = fixture.newTask(E1).submission();
        for (int i = 0; i < 5; i++) {
            fixture.receive(E1, fixture.start(E1, lease(), job.task(i), BALANCE, 0));
        }
        for (int i = 0; i < 5; i++) {
            fixture.end(job.task(i), large);
        }
        List<TaskReport> reports = seal(job).tasks();
        assertThat(
                reports.stream().filter(report -> report.result().isPresent()).count(), is(4L));
    }

    @Test
    void fullSealTableAnswersWithoutCertaintyAndRecordsNothing() {
        seal(fixture.newTask(E1).submission());
        seal(fixture.newTask(E1).submission());
        TaskId task = fixture.newTask(E1);

        assertThat(seal(task.submission()), is(sealed(task.submission(), false)));
        fixture.receive(E1, fixture.start(E1, lease(), task, BALANCE, 0));

        assertThat(fixture.output.takeStarted(), hasKey(task));
    }

    @Test
    void anyNumberOfSealsOfAnUnlinkedIssuerIsAnsweredWithCertainty() {
        Incarnation unlinked = new Incarnation("entry-3", 3);

        for (int i = 0; i < 100 * MAX_SEALS; i++) {
            SubmissionId submission = fixture.newTask(unlinked).submission();
            assertThat(seal(submission), is(sealed(submission, true)));
        }

        assertThat(fixture.counters.value(AgentCounter.UNCERTAIN_SEALS), is(0L));
    }

    @Test
    void resumeReportsTheStateOfEachTask() {
        TaskId running = start();
        TaskId ended = start();
        TaskId refused = start();
        Start lost = fixture.start(E1, lease(), fixture.newTask(E1), BALANCE, 0);
        fixture.agent.unlinked(E1, fixture.now);
        fixture.end(ended, COMPLETED);
        fixture.end(refused, UNREACHABLE);
        fixture.link(E1);
        fixture.output.take(E1);

        fixture.receive(E1, new Resume(lost.sequence(), List.of(running, ended, refused, lost.task())));

        assertThat(
                fixture.output.take(E1, Resumed.class),
                contains(new Resumed(
                        lost.sequence(),
                        List.of(
                                new TaskReport(running, TaskState.RUNNING, Optional.empty()),
                                finished(ended, COMPLETED),
                                new TaskReport(refused, TaskState.NOT_STARTED, Optional.empty()),
                                new TaskReport(lost.task(), TaskState.NOT_STARTED, Optional.empty())))));
        fixture.receive(E1, lost);
        assertThat(fixture.output.take(E1), is(empty()));
        fixture.end(running, COMPLETED);
        assertThat(fixture.output.take(E1, Finished.class).get(0).task(), is(running));
    }

    @Test
    void resumeReportsADiscardedTaskAsForgotten() {
        TaskId first = start();
        fixture.end(first, COMPLETED);
        for (int i = 0; i < MAX_RECORDS; i++) {
            fixture.end(start(), COMPLETED);
        }
        fixture.output.take(E1);

        fixture.receive(E1, new Resume(fixture.sequence(E1), List.of(first)));

        TaskReport report = new TaskReport(first, TaskState.FORGOTTEN, Optional.empty());
        assertThat(fixture.output.take(E1), contains(new Resumed(fixture.sequence(E1), List.of(report))));
    }

    @Test
    void taskThatWasNotRunIsNotReportedAsStarted() {
        TaskId task = start();
        fixture.end(task, UNREACHABLE);

        assertThat(seal(task.submission()), is(sealed(task.submission(), true)));
    }

    @Test
    void taskThatWasCompletedIsAnsweredFromTheRecord() {
        TaskId task = start();
        fixture.end(task, COMPLETED);
        fixture.output.takeStarted();

        fixture.receive(E1, fixture.start(E1, lease(), task, BALANCE, 0));

        assertThat(
                fixture.output.take(E1, Finished.class), contains(new Finished(task, 0, COMPLETED, Optional.empty())));
        assertThat(fixture.output.takeStarted().keySet(), is(empty()));
    }

    @Test
    void taskThatRunsIsNotStartedAgain() {
        TaskId task = start();
        fixture.output.takeStarted();

        fixture.receive(E1, fixture.start(E1, lease(), task, BALANCE, 0));

        assertThat(fixture.output.takeStarted().keySet(), is(empty()));
        assertThat(fixture.output.take(E1, NotStarted.class), is(empty()));
    }

    @Test
    void taskThatFailedIsStartedAgainIfItsKindIsRepeatable() {
        TaskId task = start();
        fixture.end(task, FAILED);
        fixture.output.takeStarted();

        fixture.receive(E1, fixture.start(E1, lease(), task, BALANCE, 0));
        assertThat(fixture.output.takeStarted(), hasKey(task));
        fixture.end(task, FAILED);
        fixture.configure(new KindConfig(BALANCE.kind(), SERVICE, false, true, 1, 100, 10_000, Resources.NONE));
        fixture.receive(E1, fixture.start(E1, lease(), task, BALANCE, 0));

        assertThat(fixture.output.takeStarted().keySet(), is(empty()));
        assertThat(fixture.output.take(E1, Finished.class).get(0).result(), is(FAILED));
    }

    @Test
    void startOfASubmissionOfAnotherIssuerIsRefused() {
        TaskId task = fixture.newTask(new Incarnation("entry-3", 3));

        fixture.receive(E1, fixture.start(E1, lease(), task, BALANCE, 0));

        assertThat(
                fixture.output.take(E1, NotStarted.class),
                contains(new NotStarted(task, fixture.sequence(E1), Reason.MALFORMED)));
    }

    @Test
    void cancelStopsTheRunningTasksOfTheSubmission() {
        TaskId ended = start();
        fixture.end(ended, COMPLETED);
        TaskId running = start();

        fixture.receive(E1, new CancelTasks(ended.submission()));
        fixture.receive(E1, new CancelTasks(running.submission()));

        assertThat(fixture.output.takeStopped(), contains(running));
    }

    private TaskId start() {
        return fixture.send(E1, lease(), BALANCE, 0);
    }

    /** Takes the next lease of the first entry and releases its other new ones. */
    private long lease() {
        List<Long> leases = fixture.leases(E1);
        fixture.release(E1, leases.subList(1, leases.size()));
        return leases.get(0);
    }

    private Sealed seal(SubmissionId submission) {
        fixture.receive(E2, new Seal(7, submission));
        return fixture.output.take(E2, Sealed.class).get(0);
    }

    private static Sealed sealed(SubmissionId submission, boolean certain, TaskReport... tasks) {
        return new Sealed(7, submission, certain, List.of(tasks));
    }

    private static TaskReport finished(TaskId task, TaskResult result) {
        return new TaskReport(task, TaskState.FINISHED, Optional.of(result));
    }
}
