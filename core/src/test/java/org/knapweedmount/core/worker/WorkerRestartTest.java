package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Checks what an agent takes as evidence that runs have ended when its worker leaves, restarts or does not answer. */
class WorkerRestartTest {
    /** Long enough before the first event for runs of an earlier worker to have ended. */
    private static final ProcessStart PROCESS_START = new ProcessStart(-TimeUnit.SECONDS.toNanos(2), 0);

    private static final Incarnation ENTRY = new Incarnation("entry", 1);
    private static final WorkerIncarnation FIRST = new WorkerIncarnation("i-1", 1_000);
    private static final WorkerIncarnation SECOND = new WorkerIncarnation("i-1", 1_001);
    private static final Resources CORE = new Resources(1_000, 100, 0);
    private static final RunRef RUN = new RunRef("t1", 1);
    private static final RunRef OTHER_RUN = new RunRef("t2", 1);

    private final Recorder output = new Recorder();
    private final WorkerAgent agent = new WorkerAgent(output, PROCESS_START);
    private long orders;

    private static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void announce(WorkerIncarnation incarnation, long sequence, long clockMillis, long nowMillis) {
        Resources capacity = new Resources(4_000, 1_000, 0);
        agent.announced(
                new WorkerAnnouncement(incarnation, "service", sequence, capacity, List.of(), false, clockMillis),
                millisToNanos(nowMillis));
    }

    /** Orders a run under the newest timestamp. */
    private void order(RunRef run, long nowMillis) {
        orders++;
        agent.linked(ENTRY, millisToNanos(nowMillis));
        List<JobRuns> jobs = List.of(new JobRuns("queue", "spec", List.of(new RunRequest(run, CORE, 300, ""))));
        agent.receive(
                ENTRY,
                new RunOrder(orders, output.timestampNanos, 0, jobs, ResourceDemand.NONE),
                millisToNanos(nowMillis));
    }

    private void list(WorkerIncarnation incarnation, long clockMillis, long sentMillis, RunRef... running) {
        list(incarnation, clockMillis, sentMillis, List.of(), running);
    }

    private void list(
            WorkerIncarnation incarnation,
            long clockMillis,
            long sentMillis,
            List<RunList.Ended> ended,
            RunRef... running) {
        List<RunList.Running> rows = new ArrayList<>();
        for (RunRef run : running) {
            rows.add(new RunList.Running(run, "", 10));
        }
        agent.listAnswered(
                incarnation,
                millisToNanos(sentMillis),
                new RunList(incarnation.startMillis(), clockMillis, rows, ended),
                millisToNanos(sentMillis + 1));
    }

    /** Fails all lists of a time in which the entry renews its lease. */
    private void loseLists(WorkerIncarnation incarnation, long fromMillis, long untilMillis) {
        for (long millis = fromMillis; millis < untilMillis; millis += 40) {
            agent.receive(ENTRY, new LeaseRenewal(output.timestampNanos), millisToNanos(millis));
            agent.tick(millisToNanos(millis));
            agent.listFailed(incarnation, millisToNanos(millis), RunListFailure.UNREACHABLE, millisToNanos(millis + 1));
        }
    }

    @BeforeEach
    void startRun() {
        announce(FIRST, 1, 5_000, 0);
        list(FIRST, 5_000, 0);
        order(RUN, 2);
        assertThat(output.started, contains(RUN));
    }

    @Test
    void noticeOfLeavingEndsNoRunThatTheWorkerStillLists() {
        agent.workerLeft("i-1", millisToNanos(10));
        list(FIRST, 5_011, 11, RUN);
        order(OTHER_RUN, 13);

        assertThat(output.results, contains(new RunResult(OTHER_RUN, RunOutcome.REFUSED, 0, "")));
    }

    @Test
    void announcementAfterADelayedNoticeOfLeavingReopensTheWorker() {
        agent.workerLeft("i-1", millisToNanos(10));
        announce(FIRST, 2, 5_020, 20);

        order(OTHER_RUN, 21);

        assertThat(output.started, contains(RUN, OTHER_RUN));
    }

    @Test
    void runsOfAWorkerThatLeftEndWhenItsLeaseMustHaveExpired() {
        agent.workerLeft("i-1", millisToNanos(10));

        // Before the first list at 5,000 ms another agent may have extended the lease by 1,000 ms; a stop takes 50 ms.
        loseLists(FIRST, 20, 1_061);
        assertThat(output.results, is(empty()));
        loseLists(FIRST, 1_061, 1_102);

        assertThat(output.outcomes(), contains(RunOutcome.LAPSED));
    }

    @Test
    void laterIncarnationEndsRunsOnlyByItsList() {
        announce(SECOND, 1, 0, 100);
        assertThat(output.results, is(empty()));

        list(SECOND, 2, 100);

        assertThat(output.outcomes(), contains(RunOutcome.LAPSED));
    }

    @Test
    void orderToAnEarlierIncarnationThatALaterOneExecutedIsStopped() {
        announce(SECOND, 1, 0, 100);
        list(SECOND, 2, 100, RUN);
        assertThat(output.stopped, contains(RUN));
        assertThat(output.results, is(empty()));

        agent.stopAnswered(SECOND, RUN, StopReply.CONFIRMED, millisToNanos(103));
        list(SECOND, 10, 110);

        assertThat(output.outcomes(), contains(RunOutcome.STOPPED));
    }

    @Test
    void runThatALaterIncarnationHasCompletedIsDone() {
        announce(SECOND, 1, 0, 100);
        list(SECOND, 2, 100, List.of(new RunList.Ended(1, RUN, RunOutcome.DONE, "")));

        assertThat(output.outcomes(), contains(RunOutcome.DONE));
    }

    @Test
    void laterIncarnationThatDoesNotAnswerEndsNoRuns() {
        announce(SECOND, 1, 0, 100);

        loseLists(SECOND, 100, 3_000);

        assertThat(output.results, is(empty()));
    }

    @Test
    void fencingTokenRisesEvenIfTheClockOfTheWorkersVmWasSetBack() {
        long earlierFence = output.fences.get(0);
        output.fences.clear();

        announce(SECOND, 1, 0, 100);

        assertThat(output.fences, everyItem(greaterThan(earlierFence)));
        assertThat(output.fences.isEmpty(), is(false));
    }

    @Test
    void laterIncarnationIsKnownByItsListIfTheClockOfItsVmWasSetBack() {
        WorkerIncarnation setBack = new WorkerIncarnation("i-1", 900);
        agent.listAnswered(FIRST, millisToNanos(2), new RunList(900, 30, List.of(), List.of()), millisToNanos(50));

        announce(setBack, 2, 40, 60);
        list(setBack, 42, 60);
        order(OTHER_RUN, 63);

        assertThat(output.outcomes(), contains(RunOutcome.LAPSED));
        assertThat(output.started, contains(RUN, OTHER_RUN));
    }

    @Test
    void delayedAnnouncementOfAnEarlierIncarnationIsIgnoredWithoutItsList() {
        announce(new WorkerIncarnation("i-1", 900), 99, 40, 60);
        order(OTHER_RUN, 63);

        assertThat(output.started, contains(RUN, OTHER_RUN));
    }

    @Test
    void announcementBringsBackAnIncarnationThatAnUnrelatedAnswerHasEnded() {
        agent.listAnswered(FIRST, millisToNanos(2), new RunList(0, 0, List.of(), List.of()), millisToNanos(50));

        announce(FIRST, 2, 5_060, 60);
        order(OTHER_RUN, 61);
        assertThat(output.started, contains(RUN));

        list(FIRST, 5_062, 62, RUN);
        order(OTHER_RUN, 64);
        assertThat(output.started, contains(RUN, OTHER_RUN));
    }

    @Test
    void startThatMayBeExecutedAfterItsRunHasLapsedIsFencedBeforeOthersAreSent() {
        loseLists(FIRST, 20, 1_101);
        assertThat(output.outcomes(), contains(RunOutcome.LAPSED));

        agent.listAnswered(
                FIRST, millisToNanos(20), new RunList(1_000, 6_000, List.of(), List.of()), millisToNanos(1_102));
        order(OTHER_RUN, 1_103);
        assertThat(output.started, contains(RUN));

        list(FIRST, 6_100, 1_104);
        order(OTHER_RUN, 1_106);
        assertThat(output.started, contains(RUN, OTHER_RUN));
        assertThat(output.startFences.get(1), greaterThan(output.startFences.get(0)));
    }

    private static final class Recorder implements WorkerOutput {
        private final List<RunRef> started = new ArrayList<>();
        private final List<RunRef> stopped = new ArrayList<>();
        private final List<Long> fences = new ArrayList<>();
        private final List<Long> startFences = new ArrayList<>();
        private final Set<RunResult> results = new LinkedHashSet<>(); // they are repeated on each new link
        private long timestampNanos;

        private List<RunOutcome> outcomes() {
            return results.stream().map(RunResult::outcome).toList();
        }

        @Override
        public void send(Incarnation entry, Message message) {
            if (message instanceof RunsEnded ended) {
                results.addAll(ended.results());
            } else if (message instanceof WorkerReport report) {
                timestampNanos = report.timestampNanos();
            }
        }

        @Override
        public void start(
                WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long leaseExpiryMillis) {
            started.add(request.ref());
            startFences.add(fence);
        }

        @Override
        public void stop(WorkerIncarnation incarnation, RunRef run, long fence) {
            stopped.add(run);
        }

        @Override
        public void list(
                WorkerIncarnation incarnation,
                long fence,
                long acknowledged,
                long leaseExpiryMillis,
                long sentNanos,
                int waitMillis) {
            fences.add(fence);
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
