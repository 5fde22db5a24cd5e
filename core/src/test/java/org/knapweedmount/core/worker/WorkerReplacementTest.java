package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

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
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Checks what an agent concludes when a worker with another ID takes over while the earlier one may still work. */
class WorkerReplacementTest {
    /** Long enough before the first event for runs of an earlier worker to have ended. */
    private static final ProcessStart PROCESS_START = new ProcessStart(-TimeUnit.SECONDS.toNanos(2), 0);

    private static final Incarnation ENTRY = new Incarnation("entry", 1);
    private static final WorkerIncarnation OLD = new WorkerIncarnation("i-1", 1_000);
    private static final WorkerIncarnation NEW = new WorkerIncarnation("i-2", 2_000);
    private static final Resources CORE = new Resources(1_000, 100, 0);
    private static final RunRef RUN = new RunRef("t1", 1);
    private static final RunRef OTHER_RUN = new RunRef("t2", 1);

    private final Recorder output = new Recorder();
    private WorkerAgent agent = new WorkerAgent(output, PROCESS_START);
    private long orders;

    private static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void announce(WorkerIncarnation incarnation, long clockMillis, long nowMillis) {
        Resources capacity = new Resources(4_000, 1_000, 0);
        agent.announced(
                new WorkerAnnouncement(incarnation, "service", 1, capacity, List.of(), false, clockMillis),
                millisToNanos(nowMillis));
    }

    private void announceAgain(WorkerIncarnation incarnation, long clockMillis, long nowMillis) {
        Resources capacity = new Resources(4_000, 1_000, 0);
        agent.announced(
                new WorkerAnnouncement(incarnation, "service", 2, capacity, List.of(), false, clockMillis),
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

    /** Answers a list that was sent 1 ms before. */
    private void list(WorkerIncarnation incarnation, long clockMillis, long nowMillis, RunRef... running) {
        list(incarnation, clockMillis, nowMillis, List.of(), running);
    }

    private void list(
            WorkerIncarnation incarnation,
            long clockMillis,
            long nowMillis,
            List<RunList.Ended> ended,
            RunRef... running) {
        List<RunList.Running> rows = new ArrayList<>();
        for (RunRef run : running) {
            rows.add(new RunList.Running(run, "", 10));
        }
        agent.listAnswered(
                incarnation,
                millisToNanos(nowMillis - 1),
                new RunList(incarnation.startMillis(), clockMillis, rows, ended),
                millisToNanos(nowMillis));
    }

    /** Lets the new worker answer lists without any runs, and the entry renew its lease. */
    private void work(long fromMillis, long untilMillis) {
        for (long millis = fromMillis; millis < untilMillis; millis += 40) {
            agent.receive(ENTRY, new LeaseRenewal(output.timestampNanos), millisToNanos(millis));
            agent.tick(millisToNanos(millis));
            list(NEW, millis, millis + 1);
        }
    }

    /** Starts a run on the old worker, whose lease is 7,001 ms from its first list and 6,901 ms after it. */
    private void startRun() {
        announce(OLD, 6_000, 0);
        list(OLD, 6_001, 1);
        order(RUN, 2);
        agent.startAnswered(OLD, RUN, StartReply.STARTED, millisToNanos(3));
        list(OLD, 6_100, 100, RUN);
        assertThat(output.started, contains(RUN));
    }

    /** A replacement may start first while the old worker drains, so its list says nothing about the runs there. */
    @Test
    void runsOfAnEarlierWorkerThatStillWorksAreNotReportedAsEndedOnTheListOfANewOne() {
        startRun();
        announce(NEW, 0, 110);
        work(111, 900);

        assertThat(output.results, is(empty()));
    }

    /** The lease of the old worker is counted on its own clock, which may be slow, and a stop takes a moment. */
    @Test
    void runsOfAnEarlierWorkerEndWhenItsLeaseMustHaveExpired() {
        startRun();
        announce(NEW, 0, 110);
        work(111, 1_060);
        assertThat(output.results, is(empty()));

        work(1_060, 1_140);

        assertThat(output.outcomes(), contains(RunOutcome.LAPSED));
    }

    /** The end that the old worker lists itself is read, so that the task is not run again. */
    @Test
    void endThatAnEarlierWorkerListsAfterTheNewOneHasAnnouncedItselfIsNotLost() {
        startRun();
        announce(NEW, 0, 110);
        list(NEW, 1, 112);
        list(OLD, 6_130, 130, List.of(new RunList.Ended(1, RUN, RunOutcome.DONE, "")));

        assertThat(output.outcomes(), contains(RunOutcome.DONE));
    }

    /** Without a list call to the old worker its ends would be read only if a call was under way. */
    @Test
    void earlierWorkerIsAskedForItsRunsUntilTheyHaveEnded() {
        startRun();
        announce(NEW, 0, 110);
        output.listed.clear();
        work(140, 150);
        assertThat(output.listed, hasItem(OLD));

        list(OLD, 6_160, 160, List.of(new RunList.Ended(1, RUN, RunOutcome.DONE, "")));
        output.listed.clear();
        work(180, 260);

        assertThat(output.listed, not(hasItem(OLD)));
    }

    /** Runs of two entries can have the same number, so a row of another worker says nothing about a run. */
    @Test
    void endThatANewWorkerListsDoesNotEndTheRunOfTheSameNumberOnTheEarlierOne() {
        startRun();
        announce(NEW, 0, 110);

        list(NEW, 2, 112, List.of(new RunList.Ended(1, RUN, RunOutcome.DONE, "")));

        assertThat(output.results, is(empty()));
    }

    /** Another process that answers at the address does not prove that the old one has ended. */
    @Test
    void stopReplyOfAnotherWorkerEndsNoRun() {
        startRun();

        agent.stopAnswered(OLD, RUN, StopReply.OTHER_LIFE, millisToNanos(110));
        agent.tick(millisToNanos(150));
        assertThat(output.results, is(empty()));

        agent.tick(millisToNanos(1_140));
        assertThat(output.outcomes(), contains(RunOutcome.LAPSED));
    }

    /** A worker that has not run the start cannot run it later, so the task need not wait for its lease. */
    @Test
    void startThatAnEarlierWorkerRefusesNeedsNoWait() {
        startRun();
        order(OTHER_RUN, 105);
        announce(NEW, 0, 110);

        agent.startAnswered(OLD, OTHER_RUN, StartReply.REFUSED, millisToNanos(112));

        assertThat(output.outcomes(), contains(RunOutcome.REFUSED));
    }

    /** The leases of entries with runs at the old worker must not shorten that of the new one. */
    @Test
    void startsOnANewWorkerAreNotHeldUpByTheRunsOfAnEarlierOne() {
        startRun();
        announce(NEW, 5_000, 110);
        list(NEW, 5_002, 112);

        order(OTHER_RUN, 114);

        assertThat(output.started, contains(RUN, OTHER_RUN));
        assertThat(output.expiryMillis.get(1), is(5_753L));
    }

    /** A worker was kept closed for seconds because the one before it had failed. */
    @Test
    void newWorkerIsNotSetAsideForTheFailuresOfAnEarlierOne() {
        startRun();
        List<RunList.Ended> failures = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            failures.add(new RunList.Ended(number, RUN, RunOutcome.FAILED, ""));
            list(OLD, 6_110 + number, 110 + number, List.copyOf(failures));
            order(RUN, 120 + number);
        }
        announce(NEW, 0, 200);
        list(NEW, 2, 202);

        order(OTHER_RUN, 204);

        assertThat(output.started, hasItem(OTHER_RUN));
    }

    /** Entries release the runs of a replaced agent when its successor accepts starts. */
    @Test
    void newAgentAcceptsNoStartsWhileAWorkerBeforeItsFirstMayStillWork() {
        agent = new WorkerAgent(output, new ProcessStart(0, 0));
        announce(NEW, 300, 100);
        agent.linked(ENTRY, millisToNanos(100));
        work(101, 1_060);
        assertThat(output.acceptsStarts, everyItem(is(false)));

        work(1_080, 1_160);

        assertThat(output.acceptsStarts, hasItem(true));
    }

    /** The clock of a worker begins at any value, so it does not show that no other worker was there before. */
    @Test
    void newAgentOpensAWorkerOnlyOnceRunsOfAnEarlierOneMustHaveEndedWhateverTheClockOfTheWorker() {
        agent = new WorkerAgent(output, new ProcessStart(0, 0));
        announce(NEW, 60_000, 100);
        list(NEW, 60_002, 102);

        order(RUN, 1_071);
        assertThat(output.started, is(empty()));

        order(RUN, 1_072);
        assertThat(output.started, contains(RUN));
    }

    /** The time until then is counted from the start of the process, also if its worker announces itself late. */
    @Test
    void agentWhoseProcessHasRunForLongOpensItsFirstWorkerAtOnce() {
        announce(NEW, 0, 100);
        list(NEW, 2, 102);

        order(RUN, 104);

        assertThat(output.started, contains(RUN));
    }

    /** The clock of its VM was set back before the worker started, so that it seems to be older than the one before. */
    @Test
    void workerThatSeemsToHaveStartedEarlierTakesOverOnceTheOneBeforeDoesNotAnswer() {
        announce(NEW, 0, 0);
        list(NEW, 1, 1);
        announce(OLD, 100, 100);
        assertThat(output.listed, hasItem(NEW));

        agent.listFailed(NEW, millisToNanos(100), RunListFailure.OTHER_LIFE, millisToNanos(110));
        announceAgain(OLD, 1_600, 1_600);
        list(OLD, 1_601, 1_601);
        agent.tick(millisToNanos(2_700));
        order(RUN, 2_701);

        assertThat(output.started, contains(RUN));
    }

    /** The runs of a replaced agent may be on a worker that is replaced before it has listed them. */
    @Test
    void workerThatReplacesAnUnlistedOneIsNotOpenedWhileThatOneMayStillWork() {
        announce(OLD, 60_000, 10);
        announce(NEW, 0, 20);
        list(NEW, 2, 22);

        order(RUN, 24);

        assertThat(output.started, is(empty()));
    }

    private static final class Recorder implements WorkerOutput {
        private final List<RunRef> started = new ArrayList<>();
        private final List<Long> expiryMillis = new ArrayList<>();
        private final List<WorkerIncarnation> listed = new ArrayList<>();
        private final List<Boolean> acceptsStarts = new ArrayList<>();
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
                acceptsStarts.add(report.acceptsStarts());
            }
        }

        @Override
        public void start(
                WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long leaseExpiryMillis) {
            started.add(request.ref());
            expiryMillis.add(leaseExpiryMillis);
        }

        @Override
        public void stop(WorkerIncarnation incarnation, RunRef run, long fence) {
            // The tests provide the answers.
        }

        @Override
        public void list(
                WorkerIncarnation incarnation,
                long fence,
                long acknowledged,
                long leaseExpiryMillis,
                long sentNanos,
                int waitMillis) {
            listed.add(incarnation);
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
