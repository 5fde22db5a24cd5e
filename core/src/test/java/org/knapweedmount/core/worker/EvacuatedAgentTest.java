package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.EvacuationNotice;
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
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

class EvacuatedAgentTest {
    private static final Incarnation INFORMED = new Incarnation("informed", 1);
    private static final Incarnation UNINFORMED = new Incarnation("uninformed", 2);
    private static final WorkerIncarnation INCARNATION = new WorkerIncarnation("i-1", 1_000);
    private static final Resources CORE = new Resources(1_000, 100, 0);
    private static final EvacuationNotice CLOSED = new EvacuationNotice(7, true);

    private final Recorder output = new Recorder();
    private final WorkerAgent agent = new WorkerAgent(output, new ProcessStart(-TimeUnit.SECONDS.toNanos(2), 0));
    private long orders;

    @BeforeEach
    void openWorker() {
        agent.linked(INFORMED, 0);
        agent.linked(UNINFORMED, 0);
        agent.announced(
                new WorkerAnnouncement(
                        INCARNATION, "service", 1, new Resources(4_000, 1_000, 0), List.of(), false, 5_000),
                0);
        agent.listAnswered(INCARNATION, 0, new RunList(INCARNATION.startMillis(), 5_000, List.of(), List.of()), 1);
    }

    private static RunRef order(String task) {
        return new RunRef(task, 1);
    }

    private void order(Incarnation entry, String task, long nowNanos) {
        orders++;
        long timestampNanos = TimeUnit.MILLISECONDS.toNanos(5_000);
        RunRequest request = new RunRequest(order(task), CORE, 300, "");
        agent.receive(
                entry,
                new RunOrder(
                        orders, timestampNanos, 0, List.of(new JobRuns("spec", List.of(request))), ResourceDemand.NONE),
                nowNanos);
    }

    /** Guards against starts that an entry orders which has not learned of the closing. */
    @Test
    void orderOfAnUninformedEntryIsRefusedAsNotRun() {
        agent.receive(INFORMED, CLOSED, 2);
        order(UNINFORMED, "t1", 3);

        assertThat(output.started, is(empty()));
        assertThat(output.results, contains(new RunResult(order("t1"), RunOutcome.REFUSED, 0, "")));
    }

    @Test
    void entriesAreToldThatAClosedAgentAcceptsNoStarts() {
        agent.receive(INFORMED, CLOSED, TimeUnit.MILLISECONDS.toNanos(100));

        assertThat(output.reportedAccepting, hasItem(false));
    }

    /** Guards against an evacuation that stops the runs which are under way. */
    @Test
    void runsThatAreUnderWayGoOn() {
        order(INFORMED, "t1", 2);
        agent.receive(INFORMED, CLOSED, 3);
        agent.tick(4);

        assertThat(output.stopped, is(empty()));
        assertThat(agent.runCount(), is(1));
    }

    /** Guards against an agent that stays closed after the reopening, or by an entry that has gone. */
    @Test
    void startsAreAcceptedAgainAfterTheReopeningAndAfterTheLossOfTheLink() {
        agent.receive(INFORMED, CLOSED, 2);
        agent.receive(INFORMED, new EvacuationNotice(8, false), 3);
        order(UNINFORMED, "t1", 4);
        agent.receive(INFORMED, new EvacuationNotice(9, true), 5);
        order(UNINFORMED, "t2", 6);
        agent.unlinked(INFORMED, 7);
        order(UNINFORMED, "t3", 8);

        assertThat(output.started, contains(order("t1"), order("t3")));
    }

    private static final class Recorder implements WorkerOutput {
        private final List<RunRef> started = new ArrayList<>();
        private final List<RunRef> stopped = new ArrayList<>();
        private final List<RunResult> results = new ArrayList<>();
        private final List<Boolean> reportedAccepting = new ArrayList<>();

        @Override
        public void send(Incarnation entry, Message message) {
            if (message instanceof RunsEnded ended) {
                results.addAll(ended.results());
            } else if (message instanceof WorkerReport report) {
                reportedAccepting.add(report.acceptsStarts());
            }
        }

        @Override
        public void start(WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long expiry) {
            started.add(request.ref());
        }

        @Override
        public void stop(WorkerIncarnation incarnation, RunRef run, long fence) {
            stopped.add(run);
        }

        @Override
        public void list(WorkerIncarnation to, long fence, long acknowledged, long expiry, long sent, int wait) {
            // Lists are answered by the tests.
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
