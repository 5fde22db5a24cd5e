package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.JobClaim;
import org.knapweedmount.api.message.JobOwnershipUpdate;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.OwnershipProbeReply;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.message.YieldJob;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.core.evacuation.DataCentreAccess;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class DispatcherTest {
    private static final Incarnation AGENT = new Incarnation("agent", 1);
    private static final Incarnation PEER = new Incarnation("peer", 2);
    private static final String JOB = "00000000000000aa";
    private static final RunRef FIRST = new RunRef(JOB + ".0.0.0", 1);
    private static final RunRef SECOND = new RunRef(JOB + ".0.0.0", 2);

    private final List<Message> sent = new ArrayList<>();
    private final Map<String, JobResult> answers = new LinkedHashMap<>();
    private final List<String> histories = new ArrayList<>();
    private final Dispatcher dispatcher = new Dispatcher(new Recorder(), new DataCentreAccess());

    private void report(long millis, int freeMilliCores, boolean open) {
        dispatcher.receive(AGENT, report(freeMilliCores, open), DispatchFixture.millisToNanos(millis));
    }

    private static WorkerReport report(int freeMilliCores, boolean open) {
        Resources capacity = new Resources(4_000, 1_000, 0);
        Resources free = new Resources(freeMilliCores, 1_000, 0);
        return new WorkerReport(1, "service", "w", List.of(), capacity, free, open, 9, 0, 100, true);
    }

    private void submit(int tasks, int milliCores) {
        dispatcher.submit(DispatchFixture.request(JOB, DispatchFixture.step(tasks, milliCores, 300)), 0);
    }

    private void sendResult(RunRef ref, RunOutcome outcome, long millis) {
        dispatcher.receive(
                AGENT,
                new RunsEnded(List.of(new RunResult(ref, outcome, 300, ""))),
                DispatchFixture.millisToNanos(millis));
    }

    private List<RunRef> ordered() {
        return sent.stream()
                .filter(RunOrder.class::isInstance)
                .flatMap(order -> ((RunOrder) order).jobs().stream())
                .flatMap(job -> job.runs().stream())
                .map(RunRequest::ref)
                .toList();
    }

    private List<RunRef> stopped() {
        return sent.stream()
                .filter(StopRuns.class::isInstance)
                .flatMap(stop -> ((StopRuns) stop).runs().stream())
                .toList();
    }

    @BeforeEach
    void openWorker() {
        dispatcher.agentLinked(AGENT, 0);
        report(0, 4_000, true);
    }

    @Test
    void lateJobLogsItsHistory() {
        submit(1, 1_000);
        sendResult(FIRST, RunOutcome.STOPPED, 200);
        sendResult(new RunRef(FIRST.task(), 2), RunOutcome.DONE, 900);

        assertThat(answers.get(JOB).kind(), is(JobResult.Kind.COMPLETED));
        assertThat(histories.size(), is(1));
        assertThat(
                histories.get(0),
                allOf(
                        containsString("job=" + JOB),
                        containsString("0ms 0.0#1 ordered at "),
                        containsString("200ms 0.0#1 STOPPED after 300ms"),
                        containsString("900ms 0.0#2 DONE")));
    }

    @Test
    void jobThatMeetsItsTargetLogsNoHistory() {
        submit(1, 1_000);
        sendResult(FIRST, RunOutcome.DONE, 300);

        assertThat(histories, is(empty()));
    }

    @Test
    void jobIsCompleteWhenItsLastTaskIsDone() {
        submit(1, 1_000);
        assertThat(ordered(), contains(FIRST));

        sendResult(FIRST, RunOutcome.DONE, 300);

        assertThat(answers.get(JOB).kind(), is(JobResult.Kind.COMPLETED));
    }

    @Test
    void refusedRunIsOrderedAgainWithTheNextNumber() {
        submit(1, 1_000);
        sendResult(FIRST, RunOutcome.REFUSED, 1);

        assertThat(ordered(), contains(FIRST, SECOND));
    }

    @Test
    void jobFailsWhenATaskReachesItsMaximumAttempts() {
        submit(1, 1_000);
        for (int run = 1; run <= 3; run++) {
            dispatcher.receive(AGENT, new ResourceOffer(run, new Resources(4_000, 1_000, 0)), 0);
            sendResult(new RunRef(FIRST.task(), run), RunOutcome.FAILED, run);
        }

        assertThat(answers.get(JOB).kind(), is(JobResult.Kind.FAILED));
    }

    @Test
    void jobLargerThanAnyWorkerIsFailedAtOnce() {
        submit(1, 5_000);

        assertThat(answers.get(JOB).kind(), is(JobResult.Kind.FAILED));
        assertThat(ordered(), is(empty()));
    }

    @Test
    void queuedJobThatExpiresIsAnsweredNotRun() {
        report(1, 0, true);
        submit(1, 1_000);
        assertThat(answers.size(), is(0));

        dispatcher.tick(DispatchFixture.millisToNanos(1_390));

        assertThat(answers.get(JOB).kind(), is(JobResult.Kind.NOT_RUN));
    }

    @Test
    void runsOfAnUnresponsiveAgentAreReleasedOnlyAfterTheyMustHaveEnded() {
        submit(1, 1_000);

        dispatcher.tick(DispatchFixture.millisToNanos(1_099));
        assertThat(stopped(), is(empty()));

        dispatcher.tick(DispatchFixture.millisToNanos(1_101));
        assertThat(stopped(), contains(FIRST));
    }

    /** An agent's list of runs on a new link does not contain a run that was ordered on that link before it arrived. */
    @Test
    void nothingIsOrderedOnANewLinkBeforeTheAgentHasReported() {
        submit(1, 1_000);
        dispatcher.unlinked(AGENT, DispatchFixture.millisToNanos(1));
        dispatcher.agentLinked(AGENT, DispatchFixture.millisToNanos(50));
        dispatcher.receive(AGENT, new RunsEnded(List.of(new RunResult(FIRST, RunOutcome.STOPPED, 40, ""))), 0);
        dispatcher.tick(DispatchFixture.millisToNanos(51));
        assertThat(ordered(), contains(FIRST));

        dispatcher.receive(AGENT, new ActiveRuns(List.of()), DispatchFixture.millisToNanos(52));
        report(52, 4_000, true);

        assertThat(ordered(), contains(FIRST, SECOND));
    }

    @Test
    void resultThatComesBeforeTheFirstReportOfANewLinkQueuesTheTask() {
        submit(1, 1_000);
        Incarnation other = new Incarnation("other", 3);
        dispatcher.agentLinked(other, 0);
        dispatcher.receive(other, report(4_000, true), 0);
        dispatcher.unlinked(AGENT, 0);
        dispatcher.agentLinked(AGENT, DispatchFixture.millisToNanos(50));

        sendResult(FIRST, RunOutcome.STOPPED, 51);
        dispatcher.tick(DispatchFixture.millisToNanos(52));

        assertThat(ordered(), contains(FIRST, SECOND));
    }

    @Test
    void unknownRunThatAnAgentHoldsIsStopped() {
        dispatcher.receive(AGENT, new ActiveRuns(List.of(FIRST)), 0);

        assertThat(stopped(), contains(FIRST));
    }

    @Test
    void jobHeldByAnotherEntryStartsAfterThatEntryHasEndedIt() {
        dispatcher.entryLinked(PEER, 0);
        dispatcher.receive(PEER, new JobOwnershipUpdate(List.of(new JobClaim(JOB, 0)), List.of()), 0);
        dispatcher.receive(PEER, new OwnershipProbeReply(1), 0);
        submit(1, 1_000);
        assertThat(sent.contains(new YieldJob(JOB)), is(true));
        assertThat(ordered(), is(empty()));

        dispatcher.receive(PEER, new JobOwnershipUpdate(List.of(), List.of(JOB)), 0);

        assertThat(ordered(), contains(FIRST));
    }

    @Test
    void cancelledJobIsStoppedAndNotAnsweredTwice() {
        submit(1, 1_000);

        assertThat(dispatcher.callerLeft(JOB, 1), is(true));
        assertThat(dispatcher.callerLeft(JOB, 2), is(false));
        assertThat(stopped(), contains(FIRST));
    }

    /** A job that takes longer than expected was given up at the end of the stop. */
    @Test
    void drainingEntryRefusesJobsWhoseDeadlinesAreAfterTheDrain() {
        dispatcher.beginDrain(DispatchFixture.millisToNanos(59_999));
        submit(1, 1_000);

        assertThat(answers.get(JOB).kind(), is(JobResult.Kind.NOT_RUN));
        assertThat(ordered(), is(empty()));
    }

    @Test
    void drainingEntryServesJobsWhoseDeadlinesAreBeforeTheDrainEnds() {
        dispatcher.beginDrain(DispatchFixture.millisToNanos(60_000));
        submit(1, 1_000);

        assertThat(ordered(), contains(FIRST));
    }

    @Test
    void finishedDrainAnswersHeldAndNewJobs() {
        dispatcher.beginDrain(DispatchFixture.millisToNanos(60_000));
        submit(1, 1_000);
        dispatcher.finishDrain(DispatchFixture.millisToNanos(100));
        assertThat(answers.get(JOB).kind(), is(JobResult.Kind.GIVEN_UP));

        JobRequest late = DispatchFixture.request("00000000000000bb", DispatchFixture.step(1, 1_000, 86));
        dispatcher.submit(late, DispatchFixture.millisToNanos(101));
        assertThat(answers.get("00000000000000bb").kind(), is(JobResult.Kind.NOT_RUN));
    }

    private final class Recorder implements DispatchOutput {
        @Override
        public void send(Incarnation peer, Message message) {
            sent.add(message);
        }

        @Override
        public void answer(String job, JobResult result) {
            answers.put(job, result);
        }

        @Override
        public void logEvent(String event, String detail) {
            if (event.equals("job-trail")) {
                histories.add(detail);
            }
        }
    }
}
