package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Guards against a start order without an answer that the next incarnation of the worker executes, while the task runs
 * elsewhere, because the agent learns of the incarnation only by an announcement.
 */
class LateOrderTest {
    /** Long enough before the first event that no order of an earlier agent can be late. */
    private static final ProcessStart PROCESS_START = new ProcessStart(-TimeUnit.SECONDS.toNanos(20), 0);

    private static final Incarnation ENTRY = new Incarnation("entry", 1);
    private static final WorkerIncarnation FIRST = new WorkerIncarnation("i-1", 1_000);
    private static final WorkerIncarnation SECOND = new WorkerIncarnation("i-1", 3_000);
    private static final WorkerIncarnation THIRD = new WorkerIncarnation("i-1", 4_000);
    private static final RunRef RUN = new RunRef("t1", 1);
    private static final RunRef OTHER_RUN = new RunRef("t2", 1);
    private static final int TICK_MILLIS = 40;

    private final Recorder output = new Recorder();
    private final WorkerAgent agent = new WorkerAgent(output, PROCESS_START);
    private long orders;

    private static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static RunList runList(WorkerIncarnation incarnation, long clockMillis, RunRef... running) {
        List<RunList.Running> rows = new ArrayList<>();
        for (RunRef run : running) {
            rows.add(new RunList.Running(run, "", 10));
        }
        return new RunList(incarnation.startMillis(), clockMillis, rows, List.of());
    }

    private void order(RunRef run, long nowMillis) {
        orders++;
        List<JobRuns> jobs = List.of(
                new JobRuns("queue", "spec", List.of(new RunRequest(run, new Resources(1_000, 100, 0), 300, ""))));
        agent.receive(
                ENTRY,
                new RunOrder(orders, output.timestampNanos, 0, jobs, ResourceDemand.NONE),
                millisToNanos(nowMillis));
    }

    /** Answers the only list call that is open. */
    private void answerList(WorkerIncarnation incarnation, long clockMillis, long nowMillis, RunRef... running) {
        ListCall call = takeCall();
        agent.listAnswered(
                call.incarnation(),
                call.sentNanos(),
                runList(incarnation, clockMillis, running),
                millisToNanos(nowMillis));
    }

    private void failList(RunListFailure failure, long nowMillis) {
        ListCall call = takeCall();
        agent.listFailed(call.incarnation(), call.sentNanos(), failure, millisToNanos(nowMillis));
    }

    private ListCall takeCall() {
        assertThat(output.openCalls, hasSize(1));
        return output.openCalls.remove(0);
    }

    /** Leaves the start of a run without an answer, and stops it; no run is left at the worker. */
    @BeforeEach
    void leaveAStartUnanswered() {
        agent.linked(ENTRY, 0);
        announce(FIRST, 1, 5_000, 0);
        answerList(FIRST, 5_000, 1);
        agent.linked(ENTRY, millisToNanos(2));
        order(RUN, 3);
        agent.startAnswered(FIRST, RUN, StartReply.UNANSWERED, millisToNanos(63));
        agent.stopAnswered(FIRST, RUN, StopReply.CONFIRMED, millisToNanos(64));
        output.openCalls.remove(0);
        answerList(FIRST, 5_065, 66);
        agent.listFailed(FIRST, millisToNanos(3), RunListFailure.UNANSWERED, millisToNanos(70));
    }

    private void announce(WorkerIncarnation incarnation, long sequence, long clockMillis, long nowMillis) {
        Resources capacity = new Resources(4_000, 1_000, 0);
        agent.announced(
                new WorkerAnnouncement(incarnation, "service", sequence, capacity, List.of(), false, clockMillis),
                millisToNanos(nowMillis));
    }

    /** Lets the worker end at 2,000 ms and start again at 2,100 ms, and its first list arrive. */
    private void restart() {
        if (!output.openCalls.isEmpty()) {
            failList(RunListFailure.UNANSWERED, 2_000);
        }
        if (!output.openCalls.isEmpty()) {
            failList(RunListFailure.UNREACHABLE, 2_001);
        }
        for (long millis = 2_040; millis < 2_100; millis += TICK_MILLIS) {
            agent.tick(millisToNanos(millis));
            while (!output.openCalls.isEmpty()) {
                failList(RunListFailure.UNREACHABLE, millis);
            }
        }
        agent.tick(millisToNanos(2_100));
        if (!output.openCalls.isEmpty()) {
            answerList(SECOND, 10, 2_101);
        }
    }

    @Test
    void nextIncarnationHasAHigherTokenBeforeTheLateOrderArrives() {
        restart();

        ListCall call = takeCall();
        assertThat(call.incarnation(), is(SECOND));
        assertThat(call.fence(), greaterThan(output.startFences.get(0)));
    }

    @Test
    void nextIncarnationIsGivenNoStartsBeforeItsAnnouncement() {
        restart();
        answerList(SECOND, 12, 2_103);
        order(OTHER_RUN, 2_104);

        assertThat(output.started, contains(RUN));
    }

    @Test
    void runThatALateOrderHasStartedBeforeTheTokenIsStopped() {
        restart();
        answerList(SECOND, 12, 2_103, RUN);

        assertThat(output.stopped.get(output.stopped.size() - 1), is(RUN));
        assertThat(output.stopFences.get(output.stopFences.size() - 1), greaterThan(output.startFences.get(0)));
    }

    @Test
    void incarnationAfterTheNextOneGetsAHigherTokenToo() {
        restart();
        answerList(SECOND, 12, 2_103);
        long earlierFence = output.openCalls.get(0).fence();
        failList(RunListFailure.UNANSWERED, 2_500);
        answerList(THIRD, 5, 2_502);

        ListCall call = takeCall();
        assertThat(call.incarnation(), is(THIRD));
        assertThat(call.fence(), greaterThan(earlierFence));
    }

    @Test
    void announcementOpensTheNextIncarnation() {
        restart();
        answerList(SECOND, 12, 2_103);
        output.openCalls.clear();
        announce(SECOND, 1, 20, 2_110);
        answerList(SECOND, 22, 2_112);
        agent.linked(ENTRY, millisToNanos(2_113));
        order(OTHER_RUN, 2_114);

        assertThat(output.started, contains(RUN, OTHER_RUN));
    }

    @Test
    void openCallWaitsAsLongAsTheWorkerAllows() {
        assertThat(takeCall().waitMillis(), is(LateOrders.OPEN_CALL_MILLIS));
    }

    /** A call that waits after a lost one would hide the next incarnation for as long as it waits. */
    @Test
    void callAfterALostOneDoesNotWait() {
        failList(RunListFailure.UNANSWERED, 2_000);

        assertThat(takeCall().waitMillis(), is(0));
    }

    /** The open call extends no lease, so the runs of a worker that is no longer idle need calls of their own. */
    @Test
    void runsGetListCallsBesideTheOpenCall() {
        agent.linked(ENTRY, millisToNanos(100));
        order(OTHER_RUN, 101);

        assertThat(output.openCalls, hasSize(2));
        assertThat(output.openCalls.get(1).leaseExpiryMillis(), greaterThan(0L));
    }

    /** Calls to workers cost processor time of agents. */
    @Test
    void noCallIsKeptOpenOnceNoOrderCanBeLate() {
        long endMillis = 64 + LateOrders.MAX_LATE_MILLIS;
        long nowMillis = 64;
        int calls = 0;
        while (nowMillis < endMillis) {
            calls++;
            nowMillis += LateOrders.OPEN_CALL_MILLIS;
            answerList(FIRST, 5_000 + nowMillis, nowMillis);
        }
        assertThat(calls, is(6));
        assertThat(output.openCalls, is(empty()));
        agent.tick(millisToNanos(nowMillis + TICK_MILLIS));
        assertThat(output.openCalls, is(empty()));
    }

    /** An agent that starts does not know the orders of the one before it. */
    @Test
    void newAgentKeepsACallOpenWhileOrdersOfItsPredecessorMayBeLate() {
        Recorder later = new Recorder();
        WorkerAgent successor = new WorkerAgent(later, new ProcessStart(0, 0));
        successor.announced(
                new WorkerAnnouncement(FIRST, "service", 1, new Resources(4_000, 1_000, 0), List.of(), false, 5_000),
                0);
        successor.listAnswered(FIRST, 0, runList(FIRST, 5_000), millisToNanos(1));

        assertThat(later.openCalls.get(later.openCalls.size() - 1).waitMillis(), is(LateOrders.OPEN_CALL_MILLIS));
    }

    private record ListCall(
            WorkerIncarnation incarnation, long fence, long leaseExpiryMillis, long sentNanos, int waitMillis) {}

    private static final class Recorder implements WorkerOutput {
        private final List<ListCall> openCalls = new ArrayList<>();
        private final List<RunRef> started = new ArrayList<>();
        private final List<Long> startFences = new ArrayList<>();
        private final List<RunRef> stopped = new ArrayList<>();
        private final List<Long> stopFences = new ArrayList<>();
        private long timestampNanos;

        @Override
        public void send(Incarnation entry, Message message) {
            if (message instanceof WorkerReport report) {
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
            stopFences.add(fence);
        }

        @Override
        public void list(
                WorkerIncarnation incarnation,
                long fence,
                long acknowledged,
                long leaseExpiryMillis,
                long sentNanos,
                int waitMillis) {
            openCalls.add(new ListCall(incarnation, fence, leaseExpiryMillis, sentNanos, waitMillis));
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
