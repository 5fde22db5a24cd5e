package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.ResourceOffer;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.StopRuns;
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
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class WorkerAgentTest {
    /** Long enough before the first event for runs of an earlier worker to have ended. */
    private static final ProcessStart PROCESS_START = new ProcessStart(-TimeUnit.SECONDS.toNanos(2), 0);

    private static final Incarnation ENTRY = new Incarnation("entry", 1);
    private static final Incarnation OTHER = new Incarnation("other", 2);
    private static final WorkerIncarnation INCARNATION = new WorkerIncarnation("i-1", 1_000);
    private static final Resources CAPACITY = new Resources(4_000, 1_000, 0);
    private static final Resources CORE = new Resources(1_000, 100, 0);

    private final Recorder output = new Recorder();
    private final WorkerAgent agent = new WorkerAgent(output, PROCESS_START);
    private long orders;

    private static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Returns the timestamp that was issued at a time after the first list, which showed 5,000 ms at 1 ms. */
    private static long timestampNanos(long issuedMillis) {
        return millisToNanos(5_000 + (long) (0.98 * (issuedMillis - 1)));
    }

    private static WorkerAnnouncement announcement(WorkerIncarnation incarnation, long sequence, boolean draining) {
        return announcement(incarnation, sequence, draining, 5_000);
    }

    private static WorkerAnnouncement announcement(
            WorkerIncarnation incarnation, long sequence, boolean draining, long clockMillis) {
        return new WorkerAnnouncement(incarnation, "service", sequence, CAPACITY, List.of("a"), draining, clockMillis);
    }

    private static RunRef ref(String task) {
        return new RunRef(task, 1);
    }

    private void order(Incarnation entry, long issuedMillis, long nowMillis, String... tasks) {
        orderUnder(entry, timestampNanos(issuedMillis), nowMillis, tasks);
    }

    private void orderUnder(Incarnation entry, long timestampNanos, long nowMillis, String... tasks) {
        List<RunRequest> requests = new ArrayList<>();
        for (String task : tasks) {
            requests.add(new RunRequest(ref(task), CORE, 300, ""));
        }
        orders++;
        RunOrder order = new RunOrder(
                orders, timestampNanos, 0, List.of(new JobRuns("queue", "spec", requests)), ResourceDemand.NONE);
        agent.receive(entry, order, millisToNanos(nowMillis));
    }

    private void list(long sentMillis, long nowMillis, String... running) {
        listWithClock(5_000, sentMillis, nowMillis, running);
    }

    private void listWithClock(long clockMillis, long sentMillis, long nowMillis, String... running) {
        List<RunList.Running> rows = new ArrayList<>();
        for (String task : running) {
            rows.add(new RunList.Running(ref(task), "", 10));
        }
        agent.listAnswered(
                INCARNATION,
                millisToNanos(sentMillis),
                new RunList(INCARNATION.startMillis(), clockMillis, rows, List.of()),
                millisToNanos(nowMillis));
    }

    @BeforeEach
    void openWorker() {
        agent.linked(ENTRY, millisToNanos(0));
        agent.linked(OTHER, millisToNanos(0));
        agent.announced(announcement(INCARNATION, 1, false), millisToNanos(0));
        list(0, 1);
        output.clear();
    }

    @Test
    void runsBeyondFreeCapacityAreRefused() {
        order(ENTRY, 1, 2, "t1", "t2", "t3", "t4", "t5");

        assertThat(output.started, contains(ref("t1"), ref("t2"), ref("t3"), ref("t4")));
        assertThat(output.results(ENTRY), contains(new RunResult(ref("t5"), RunOutcome.REFUSED, 0, "")));
    }

    @Test
    void orderWithAnOldTimestampStartsNothing() {
        order(ENTRY, 1, 700, "t1");

        assertThat(output.started, is(empty()));
    }

    @Test
    void onlyRunsOfEntriesThatDoNotRenewTheirLeaseAreStopped() {
        order(ENTRY, 1, 2, "t1");
        order(OTHER, 1, 2, "t2");
        agent.receive(OTHER, new LeaseRenewal(timestampNanos(500)), millisToNanos(510));

        agent.tick(millisToNanos(700));

        assertThat(output.stopped, contains(ref("t1")));
    }

    /** Runs of two entries can have the same number, so a repeated stop order must not end the run of another entry. */
    @Test
    void stopOrderOfAnEntryDoesNotEndTheRunOfAnotherOne() {
        order(ENTRY, 1, 2, "t1");

        agent.receive(OTHER, new StopRuns(List.of(ref("t1"))), millisToNanos(3));
        assertThat(output.stopped, is(empty()));

        agent.receive(ENTRY, new StopRuns(List.of(ref("t1"))), millisToNanos(4));
        assertThat(output.stopped, contains(ref("t1")));
    }

    @Test
    void renewalWithATimestampInTheFutureIsIgnored() {
        order(ENTRY, 1, 2, "t1");
        agent.receive(ENTRY, new LeaseRenewal(timestampNanos(60_000)), millisToNanos(10));

        agent.tick(millisToNanos(700));

        assertThat(output.stopped, contains(ref("t1")));
    }

    @Test
    void runsAreExtendedOnlyToTheEarliestLeaseExpiry() {
        order(ENTRY, 1, 2, "t1");
        agent.receive(ENTRY, new LeaseRenewal(timestampNanos(400)), millisToNanos(400));
        order(OTHER, 100, 401, "t2");

        // The worker's clock showed 5,000 ms at 1 ms and may be slow, so the timestamp at 100 ms was 5,097 ms.
        assertThat(output.expiryMillis.get(1), is(5_097L + 900));
    }

    @Test
    void orderFromBeforeTheAgentStoodStillStartsNothing() {
        listWithClock(8_000, 8, 9);

        order(ENTRY, 1, 10, "t1");

        assertThat(output.started, is(empty()));
    }

    @Test
    void leaseOfAnEntryEndsByTheWorkersClockAfterTheAgentStoodStill() {
        order(ENTRY, 1, 2, "t1");

        listWithClock(8_000, 8, 9, "t1");
        agent.tick(millisToNanos(10));

        assertThat(output.stopped, contains(ref("t1")));
        assertThat(output.listExpiryMillis, everyItem(lessThanOrEqualTo(8_000L)));
    }

    @Test
    void timestampOfAnEarlierIncarnationStartsNothing() {
        WorkerIncarnation later = new WorkerIncarnation("i-1", 2_000);
        agent.announced(announcement(later, 1, false, 10), millisToNanos(100));
        agent.listAnswered(later, millisToNanos(100), new RunList(2_000, 10, List.of(), List.of()), millisToNanos(101));
        agent.announced(announcement(later, 2, false, 5_040), millisToNanos(5_140));

        orderUnder(ENTRY, millisToNanos(5_000), 5_141, "t1");

        assertThat(output.started, is(empty()));
    }

    @Test
    void timestampsFollowTheClockInAnnouncementsWhileTheWorkerIsIdle() {
        agent.announced(announcement(INCARNATION, 2, false, 65_000), millisToNanos(60_000));

        order(ENTRY, 60_000, 60_001, "t0");
        orderUnder(ENTRY, millisToNanos(65_000), 60_002, "t1");

        assertThat(output.started, contains(ref("t1")));
        assertThat(output.expiryMillis, contains(65_751L));
    }

    @Test
    void clockThatIsNotAnnouncedIsReadOnceInAWhile() {
        agent.tick(millisToNanos(4_900));
        assertThat(output.listExpiryMillis, is(empty()));

        agent.tick(millisToNanos(5_100));
        listWithClock(5_000, 5_100, 5_101);
        agent.tick(millisToNanos(5_140));

        assertThat(output.listExpiryMillis, contains(0L));
    }

    @Test
    void runIsNotStartedUnderALeaseThatEndsLongBeforeThatOfTheWorker() {
        order(ENTRY, 1, 2, "t1");
        agent.receive(ENTRY, new LeaseRenewal(timestampNanos(480)), millisToNanos(480));
        list(2, 482, "t1");
        output.clear();

        order(OTHER, 20, 500, "t2");

        assertThat(output.started, is(empty()));
        assertThat(output.resultsOfOther, contains(new RunResult(ref("t2"), RunOutcome.REFUSED, 0, "")));
    }

    @Test
    void laterRunOfAnEntryIsNotStartedUnderItsOutdatedLease() {
        order(OTHER, 1, 2, "t2");
        order(ENTRY, 1, 2, "t1");
        RunList.Ended done = new RunList.Ended(1, ref("t2"), RunOutcome.DONE, "");
        List<RunList.Running> rest = List.of(new RunList.Running(ref("t1"), "", 10));
        agent.listAnswered(
                INCARNATION,
                millisToNanos(2),
                new RunList(INCARNATION.startMillis(), 5_000, rest, List.of(done)),
                millisToNanos(30));
        agent.receive(ENTRY, new LeaseRenewal(timestampNanos(450)), millisToNanos(450));
        list(30, 460, "t1");
        output.clear();

        order(OTHER, 50, 490, "t3");

        assertThat(output.started, is(empty()));
    }

    @Test
    void entryReceivesANewTimestampBeforeTheRefusalOfAnOutdatedOne() {
        order(ENTRY, 1, 2, "t1");
        agent.receive(ENTRY, new LeaseRenewal(timestampNanos(480)), millisToNanos(480));
        list(2, 482, "t1");
        output.clear();

        order(OTHER, 20, 500, "t2");
        long timestampNanos = ((WorkerReport) output.sentToOther.get(0)).timestampNanos();
        assertThat(output.sentToOther.get(1), is(instanceOf(RunsEnded.class)));
        orderUnder(OTHER, timestampNanos, 501, "t2");

        assertThat(output.started, contains(ref("t2")));
    }

    @Test
    void orderOfAUsualAgeIsAcceptedRightAfterTheWorkersLeaseWasExtended() {
        order(ENTRY, 1, 2, "t1");
        agent.receive(ENTRY, new LeaseRenewal(timestampNanos(480)), millisToNanos(480));
        list(2, 482, "t1");
        output.clear();

        order(OTHER, 250, 490, "t2");

        assertThat(output.started, contains(ref("t2")));
    }

    @Test
    void unansweredStartKeepsItsCapacityUntilTheStopIsConfirmed() {
        order(ENTRY, 1, 2, "t1", "t2", "t3", "t4");
        agent.startAnswered(INCARNATION, ref("t1"), StartReply.UNANSWERED, millisToNanos(150));
        order(OTHER, 140, 151, "t5");
        assertThat(output.started.size(), is(4));

        agent.stopAnswered(INCARNATION, ref("t1"), StopReply.CONFIRMED, millisToNanos(152));
        list(153, 154, "t2", "t3", "t4");

        assertThat(output.results(ENTRY), hasItem(new RunResult(ref("t1"), RunOutcome.STOPPED, 152, "")));
        order(OTHER, 150, 155, "t6");
        assertThat(output.started, hasItem(ref("t6")));
    }

    @Test
    void foreignRunsAreStoppedBeforeTheWorkerOpens() {
        list(5, 6, "foreign");
        order(ENTRY, 1, 7, "t1");
        assertThat(output.stopped, contains(ref("foreign")));
        assertThat(output.started, is(empty()));

        list(8, 9);
        order(ENTRY, 8, 10, "t2");
        assertThat(output.started, contains(ref("t2")));
    }

    @Test
    void drainingWorkerStartsNoRuns() {
        agent.announced(announcement(INCARNATION, 2, true), millisToNanos(5));
        order(ENTRY, 1, 6, "t1");

        assertThat(output.started, is(empty()));
    }

    @Test
    void lateAnnouncementOfAnEarlierIncarnationIsIgnored() {
        agent.announced(announcement(new WorkerIncarnation("i-0", 500), 99, true), millisToNanos(5));
        order(ENTRY, 1, 6, "t1");

        assertThat(output.started, contains(ref("t1")));
    }

    @Test
    void freeCapacityIsOfferedToTheEntryWhoseTaskIsDueFirst() {
        order(ENTRY, 1, 2, "t1", "t2", "t3", "t4");
        agent.receive(ENTRY, new ResourceDemand(1, 90_000, CORE, 1), millisToNanos(3));
        agent.receive(OTHER, new ResourceDemand(1, 20_000, CORE, 1), millisToNanos(4));
        assertThat(output.offers, is(empty()));

        RunList.Ended done = new RunList.Ended(1, ref("t1"), RunOutcome.DONE, "");
        List<RunList.Running> rest = List.of(
                new RunList.Running(ref("t2"), "", 10),
                new RunList.Running(ref("t3"), "", 10),
                new RunList.Running(ref("t4"), "", 10));
        agent.listAnswered(
                INCARNATION,
                millisToNanos(2),
                new RunList(INCARNATION.startMillis(), 5_100, rest, List.of(done)),
                millisToNanos(100));

        assertThat(output.offers, contains(OTHER));
    }

    @Test
    void failingWorkerIsQuarantinedAndProbedWithOneRun() {
        for (int number = 1; number <= 3; number++) {
            order(ENTRY, 1, 2 + number, "t" + number);
            RunList.Ended failed = new RunList.Ended(number, ref("t" + number), RunOutcome.FAILED, "");
            agent.listAnswered(
                    INCARNATION,
                    millisToNanos(2),
                    new RunList(INCARNATION.startMillis(), 5_000, List.of(), List.of(failed)),
                    millisToNanos(2 + number));
        }
        order(ENTRY, 1, 20, "t4");
        assertThat(output.started.size(), is(3));

        order(ENTRY, 500, 600, "t5", "t6");
        assertThat(output.started, hasItem(ref("t5")));
        assertThat(output.started.size(), is(4));
    }

    @Test
    void reportOnANewLinkAcknowledgesNoOrdersThatWereNotSentOnIt() {
        order(OTHER, 1, 2, "t1");
        agent.unlinked(OTHER, millisToNanos(3));
        output.clear();

        agent.linked(OTHER, millisToNanos(50));

        assertThat(
                output.sentToOther.stream()
                        .filter(WorkerReport.class::isInstance)
                        .map(message -> ((WorkerReport) message).lastOrderNumber())
                        .toList(),
                contains(0L));
    }

    private static final class Recorder implements WorkerOutput {
        private final List<RunRef> started = new ArrayList<>();
        private final List<RunRef> stopped = new ArrayList<>();
        private final List<Long> expiryMillis = new ArrayList<>();
        private final List<Long> listExpiryMillis = new ArrayList<>();
        private final List<Incarnation> offers = new ArrayList<>();
        private final List<RunResult> entryResults = new ArrayList<>();
        private final List<RunResult> resultsOfOther = new ArrayList<>();
        private final List<Message> sentToOther = new ArrayList<>();

        private void clear() {
            started.clear();
            stopped.clear();
            expiryMillis.clear();
            listExpiryMillis.clear();
            resultsOfOther.clear();
            sentToOther.clear();
        }

        private List<RunResult> results(Incarnation entry) {
            assertThat(entry, is(ENTRY));
            return entryResults;
        }

        @Override
        public void send(Incarnation entry, Message message) {
            if (entry.equals(OTHER)) {
                sentToOther.add(message);
            }
            if (message instanceof RunsEnded ended && entry.equals(OTHER)) {
                resultsOfOther.addAll(ended.results());
            }
            if (message instanceof RunsEnded ended && entry.equals(ENTRY)) {
                entryResults.addAll(ended.results());
            } else if (message instanceof ResourceOffer) {
                offers.add(entry);
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
            listExpiryMillis.add(leaseExpiryMillis);
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
