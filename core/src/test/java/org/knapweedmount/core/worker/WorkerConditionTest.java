package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.ResourceDemand;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.WorkerCondition;
import org.knapweedmount.api.message.WorkerCondition.Availability;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.core.worker.health.HealthCheck;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/** Checks what an agent does and reports when its worker is unhealthy, cold or about to leave. */
class WorkerConditionTest {
    /** Long enough before the first event for all orders of an earlier agent to be over. */
    private static final ProcessStart PROCESS_START = new ProcessStart(-TimeUnit.SECONDS.toNanos(20), 0);

    private static final Incarnation ENTRY = new Incarnation("entry", 1);
    private static final WorkerIncarnation INCARNATION = new WorkerIncarnation("i-1", 1_000);
    private static final Resources CAPACITY = new Resources(64_000, 64_000, 0);
    private static final Resources CORE = new Resources(1_000, 100, 0);

    private final Recorder output = new Recorder();
    private final WorkerAgent agent = new WorkerAgent(output, PROCESS_START);
    private long orders;
    private long sequence;
    private long ends;

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static RunRef ref(String task) {
        return new RunRef(task, 1);
    }

    private void announce(boolean draining, OptionalInt coldMillis, OptionalInt remainingMillis, long nowMillis) {
        sequence++;
        agent.announced(
                new WorkerAnnouncement(
                        INCARNATION,
                        "service",
                        sequence,
                        CAPACITY,
                        List.of(),
                        draining,
                        5_000 + nowMillis,
                        coldMillis,
                        remainingMillis),
                nanos(nowMillis));
    }

    private void order(long timestampNanos, long nowMillis, int runMillis, String... tasks) {
        List<RunRequest> requests = new ArrayList<>();
        for (String task : tasks) {
            requests.add(new RunRequest(ref(task), CORE, runMillis, ""));
        }
        orders++;
        agent.receive(
                ENTRY,
                new RunOrder(
                        orders,
                        timestampNanos,
                        0,
                        List.of(new JobRuns("queue", "spec", requests)),
                        ResourceDemand.NONE),
                nanos(nowMillis));
    }

    private void order(long nowMillis, int runMillis, String... tasks) {
        order(output.report().timestampNanos(), nowMillis, runMillis, tasks);
    }

    private void list(long nowMillis, List<RunList.Running> running, List<RunList.Ended> ended) {
        agent.listAnswered(
                INCARNATION,
                nanos(nowMillis),
                new RunList(INCARNATION.startMillis(), 5_000 + nowMillis, running, ended),
                nanos(nowMillis));
    }

    private void end(long nowMillis, RunOutcome outcome, String... tasks) {
        List<RunList.Ended> ended = new ArrayList<>();
        for (String task : tasks) {
            ends++;
            ended.add(new RunList.Ended(ends, ref(task), outcome, ""));
        }
        list(nowMillis, List.of(), ended);
    }

    private void closeByFailures() {
        order(2, 300, "f1", "f2", "f3");
        end(40, RunOutcome.FAILED, "f1", "f2", "f3");
        agent.tick(nanos(80));
        assertThat(output.condition().availability(), is(Availability.UNHEALTHY));
        output.started.clear();
    }

    @BeforeEach
    void openWorker() {
        agent.linked(ENTRY, 0);
        announce(false, OptionalInt.empty(), OptionalInt.empty(), 0);
        list(1, List.of(), List.of());
        agent.linked(ENTRY, nanos(2));
        assertThat(output.condition(), is(WorkerCondition.NORMAL));
    }

    @Test
    void drainingWorkerIsClosedAndNotUnhealthy() {
        announce(true, OptionalInt.empty(), OptionalInt.empty(), 30);
        agent.tick(nanos(60));

        assertThat(output.condition().availability(), is(Availability.CLOSED));
    }

    /** Guards against a service without workers because all of them fail the tasks of one caller. */
    @Test
    void entryThatKnowsThatTheWorkerIsClosedMayOrderRuns() {
        closeByFailures();

        order(82, 300, "t1", "t2", "t3", "t4", "t5");

        assertThat(output.started, contains(ref("t1"), ref("t2"), ref("t3"), ref("t4")));
    }

    @Test
    void orderThatWasSentBeforeTheWorkerWasClosedStartsNothing() {
        long earlier = output.report().timestampNanos();
        closeByFailures();

        order(earlier, 82, 300, "t1");

        assertThat(output.started, is(empty()));
    }

    @Test
    void successOfARunBeyondTheFloorOpensTheWorker() {
        closeByFailures();
        order(82, 300, "t1");
        end(120, RunOutcome.DONE, "t1");
        agent.tick(nanos(160));

        assertThat(output.condition().availability(), is(Availability.OPEN));
    }

    @Test
    void closedWorkerIsCheckedOnceBeforeItIsProbed() {
        closeByFailures();
        agent.tick(nanos(530));
        assertThat(output.checks, is(0));
        agent.tick(nanos(545));
        agent.tick(nanos(585));
        assertThat(output.checks, is(1));
        assertThat(output.condition().availability(), is(Availability.UNHEALTHY));

        agent.healthChecked(INCARNATION, HealthCheck.HEALTHY, nanos(590));
        agent.tick(nanos(625));

        assertThat(output.condition().availability(), is(Availability.OPEN));
        order(626, 300, "t1", "t2");
        assertThat(output.started, contains(ref("t1")));
    }

    @Test
    void checkWithoutAResponseIsNoEvidence() {
        closeByFailures();
        agent.tick(nanos(545));
        agent.healthChecked(INCARNATION, HealthCheck.UNANSWERED, nanos(605));
        agent.tick(nanos(640));

        assertThat(output.condition().availability(), is(Availability.OPEN));
    }

    @Test
    void resultOfACheckOfAnotherIncarnationChangesNothing() {
        closeByFailures();
        agent.tick(nanos(545));
        agent.healthChecked(new WorkerIncarnation("i-1", 900), HealthCheck.HEALTHY, nanos(550));
        agent.tick(nanos(585));

        assertThat(output.condition().availability(), is(Availability.UNHEALTHY));
    }

    /** An agent that restarts knows nothing of its worker's health. */
    @Test
    void newAgentBeginsWithAnOpenWorker() {
        closeByFailures();
        Recorder later = new Recorder();
        WorkerAgent successor = new WorkerAgent(later, PROCESS_START);
        successor.linked(ENTRY, nanos(100));
        successor.announced(
                new WorkerAnnouncement(INCARNATION, "service", 9, CAPACITY, List.of(), false, 5_100), nanos(100));
        successor.listAnswered(INCARNATION, nanos(100), new RunList(1_000, 5_101, List.of(), List.of()), nanos(101));
        successor.tick(nanos(140));

        assertThat(later.condition().availability(), is(Availability.OPEN));
    }

    @Test
    void reportsSayHowLongTheWorkerIsCold() {
        announce(false, OptionalInt.of(2_000), OptionalInt.empty(), 30);
        agent.tick(nanos(530));

        assertThat(output.condition().coldMillis(), is(1_500));
        agent.tick(nanos(2_030));
        assertThat(output.condition().coldMillis(), is(0));
    }

    /** Guards against a cold start that counts as the speed of the worker for seconds. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void slowdownIsMeasuredOnlyWhileTheWorkerIsWarm(boolean cold) {
        // The estimator takes no samples in the first 3 s after its first one.
        order(4, 100, "first");
        end(104, RunOutcome.DONE, "first");
        announce(false, cold ? OptionalInt.of(5_000) : OptionalInt.of(0), OptionalInt.empty(), 4_000);
        agent.tick(nanos(4_040));
        order(4_041, 100, "t1", "t2", "t3", "t4");
        end(4_441, RunOutcome.DONE, "t1", "t2", "t3", "t4");
        agent.tick(nanos(4_480));

        assertThat(output.report().slowdownPercent() > 150, is(!cold));
    }

    /** Guards against long runs that are cut off when the worker leaves, and short ones that are stopped needlessly. */
    @Test
    void runsThatCannotEndBeforeTheWorkerLeavesAreStoppedAtOnce() {
        order(3, 3_600, "long");
        order(3, 86, "short");
        order(3, 1_286, "medium");
        announce(true, OptionalInt.empty(), OptionalInt.of(1_500), 30);

        assertThat(output.stopped, contains(ref("long")));
    }

    @Test
    void stoppedRunIsReportedWithItsLastCheckpoint() {
        order(3, 3_600, "long");
        list(20, List.of(new RunList.Running(ref("long"), "half", 10)), List.of());
        announce(true, OptionalInt.empty(), OptionalInt.of(1_500), 30);
        agent.stopAnswered(INCARNATION, ref("long"), StopReply.CONFIRMED, nanos(31));
        list(60, List.of(), List.of());

        assertThat(output.results, hasSize(1));
        assertThat(output.results.get(0).outcome(), is(RunOutcome.STOPPED));
        assertThat(output.results.get(0).checkpoint(), is("half"));
    }

    @Test
    void drainWithoutATimeStopsNoRuns() {
        order(3, 3_600, "long");
        announce(true, OptionalInt.empty(), OptionalInt.empty(), 30);
        agent.tick(nanos(60));

        assertThat(output.stopped, is(empty()));
    }

    private static final class Recorder implements WorkerOutput {
        private final List<WorkerReport> reports = new ArrayList<>();
        private final List<RunRef> started = new ArrayList<>();
        private final List<RunRef> stopped = new ArrayList<>();
        private final List<RunResult> results = new ArrayList<>();
        private int checks;

        private WorkerReport report() {
            return reports.get(reports.size() - 1);
        }

        private WorkerCondition condition() {
            return report().condition();
        }

        @Override
        public void send(Incarnation entry, Message message) {
            if (message instanceof WorkerReport report) {
                reports.add(report);
            } else if (message instanceof RunsEnded ended) {
                results.addAll(ended.results());
            }
        }

        @Override
        public void start(
                WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long leaseExpiryMillis) {
            started.add(request.ref());
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
            // The tests answer lists by themselves.
        }

        @Override
        public void checkHealth(WorkerIncarnation incarnation) {
            checks++;
        }

        @Override
        public boolean canCheckHealth() {
            return true;
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
