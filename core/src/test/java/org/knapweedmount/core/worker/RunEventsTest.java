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
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.work.JobRuns;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class RunEventsTest {
    /** Long enough before the first event for runs of an earlier worker to have ended. */
    private static final ProcessStart PROCESS_START = new ProcessStart(-TimeUnit.SECONDS.toNanos(2), 0);

    private static final Incarnation ENTRY = new Incarnation("entry", 1);
    private static final WorkerIncarnation WORKER = new WorkerIncarnation("i-1", 1_000);
    private static final RunRef RUN = new RunRef("aa.0.0.0", 1);

    private final Recorder output = new Recorder();
    private final WorkerAgent agent = new WorkerAgent(output, PROCESS_START);

    private static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void announce(WorkerIncarnation worker, long millis) {
        agent.announced(
                new WorkerAnnouncement(
                        worker, "service", 1, new Resources(4_000, 1_000, 0), List.of("a"), false, 5_000 + millis),
                millisToNanos(millis));
    }

    private void list(long sentMillis, long millis, List<RunList.Running> running, List<RunList.Ended> ended) {
        agent.listAnswered(
                WORKER,
                millisToNanos(sentMillis),
                new RunList(WORKER.startMillis(), 5_000 + millis, running, ended),
                millisToNanos(millis));
    }

    private void order(long timestampMillis, long millis) {
        RunRequest request = new RunRequest(RUN, new Resources(1_000, 100, 0), 300, "");
        agent.receive(
                ENTRY,
                new RunOrder(
                        1,
                        millisToNanos(timestampMillis),
                        0,
                        List.of(new JobRuns("queue", "spec", List.of(request))),
                        ResourceDemand.NONE),
                millisToNanos(millis));
    }

    @BeforeEach
    void orderRun() {
        agent.linked(ENTRY, millisToNanos(0));
        announce(WORKER, 0);
        list(0, 1, List.of(), List.of());
        order(5_088, 100);
    }

    /** A token that is refused again and again is logged with the reason, and ever more rarely. */
    @Test
    void refusalsOfTheTokenAreLoggedWithTheReasonAndNotEach() {
        output.events.clear();
        for (int millis = 200; millis < 500; millis++) {
            agent.listFailed(WORKER, millisToNanos(millis), RunListFailure.FENCED, millisToNanos(millis));
        }

        assertThat(
                output.lines("fence-raised").get(0),
                is("worker=i-1@1000 reason=list-refused earlier=2000 fence=67736 raises=1"));
        assertThat(output.lines("fence-raised").size(), is(9));
    }

    @Test
    void tokenThatTheWorkerHasAcceptedIsLogged() {
        assertThat(output.lines("fence-in-place"), contains("worker=i-1@1000 fence=2000 raises=1"));
    }

    @Test
    void stopOrderTellsWhetherItsRunIsHeld() {
        agent.receive(ENTRY, new StopRuns(List.of(RUN, new RunRef("bb.0.0.0", 1))), millisToNanos(200));

        assertThat(
                output.lines("stops-received"),
                contains("ago=0 entry=" + ENTRY + " held=true runs=[aa.0.0.0#1]; ago=0 entry=" + ENTRY
                        + " held=false runs=[bb.0.0.0#1]"));
    }

    @Test
    void acceptedRunHasAgeOfTimestampAndExpiries() {
        assertThat(
                output.lines("runs-accepted"),
                contains("ago=0 worker=i-1@1000 entry=" + ENTRY
                        + " age=10 expiry=5848 granted=6001 clock=5098 runs=[aa.0.0.0#1]"));
    }

    @Test
    void listedEndHasWhenTheRunWasSeen() {
        agent.startAnswered(WORKER, RUN, StartReply.STARTED, millisToNanos(102));
        list(110, 120, List.of(new RunList.Running(RUN, "", 10)), List.of());
        list(120, 150, List.of(), List.of(new RunList.Ended(1, RUN, RunOutcome.DONE, "")));

        assertThat(
                output.lines("runs-released"),
                contains("ago=0 worker=i-1@1000 entry=" + ENTRY
                        + " evidence=LISTED outcome=DONE granted=6001 clock=5150 runs=[aa.0.0.0#1/50/48/40]"));
    }

    @Test
    void listOfANewIncarnationEndsRunsThatWereNotSeenToEnd() {
        WorkerIncarnation later = new WorkerIncarnation("i-1", 2_000);
        announce(later, 200);
        assertThat(output.lines("runs-released"), is(empty()));

        agent.listAnswered(
                later, millisToNanos(201), new RunList(2_000, 5_202, List.of(), List.of()), millisToNanos(202));

        assertThat(
                output.lines("runs-released"),
                contains(
                        "ago=0 worker=i-1@1000 entry=" + ENTRY
                                + " evidence=NEW_INCARNATION outcome=LAPSED granted=6202 clock=5202 runs=[aa.0.0.0#1/102/-/-]"));
        assertThat(output.counted, contains(RunCounter.ENDED_BY_NEW_INCARNATION));
    }

    @Test
    void clockEndsTheRunsOfAWorkerThatHasLeft() {
        agent.workerLeft("i-1", millisToNanos(200));
        assertThat(output.lines("runs-released"), is(empty()));

        agent.listFailed(WORKER, millisToNanos(200), RunListFailure.UNREACHABLE, millisToNanos(210));
        agent.tick(millisToNanos(1_200));

        assertThat(
                output.lines("runs-released"),
                contains("ago=0 worker=i-1@1000 entry=" + ENTRY
                        + " evidence=CLOCK outcome=LAPSED granted=6001 clock=6176 runs=[aa.0.0.0#1/1100/-/-]"));
        assertThat(output.counted, contains(RunCounter.LAPSED_BY_CLOCK));
    }

    @Test
    void refusedStartIsEvidenceThatNothingRan() {
        agent.startAnswered(WORKER, RUN, StartReply.REFUSED, millisToNanos(102));

        assertThat(
                output.lines("runs-released"),
                contains("ago=0 worker=i-1@1000 entry=" + ENTRY
                        + " evidence=START_REPLY outcome=REFUSED granted=6001 clock=5099 runs=[aa.0.0.0#1/2/-/-]"));
    }

    @Test
    void lapseByClockIsCounted() {
        agent.listFailed(WORKER, millisToNanos(100), RunListFailure.UNREACHABLE, millisToNanos(110));
        agent.tick(millisToNanos(1_200));

        assertThat(output.counted, contains(RunCounter.LAPSED_BY_CLOCK));
    }

    @Test
    void runThatTheAgentDoesNotHoldIsLogged() {
        list(110, 120, List.of(new RunList.Running(new RunRef("bb.0.0.0", 3), "", 10)), List.of());

        assertThat(
                output.lines("runs-foreign"),
                contains("ago=0 worker=i-1@1000 state=RUNNING granted=6001 clock=5120 runs=[bb.0.0.0#3]"));
        assertThat(output.counted, contains(RunCounter.FOREIGN));
    }

    @Test
    void leaseIsLoggedFromTimeToTimeWhileThereAreRuns() {
        for (int millis = 100; millis < 600; millis += 40) {
            agent.tick(millisToNanos(millis));
        }

        assertThat(output.lines("worker-lease").size() <= 3, is(true));
        assertThat(output.lines("worker-lease").isEmpty(), is(false));
    }

    private static final class Recorder implements WorkerOutput {
        private final List<String> events = new ArrayList<>();
        private final List<RunCounter> counted = new ArrayList<>();

        private List<String> lines(String event) {
            String prefix = event + " ";
            return events.stream()
                    .filter(line -> line.startsWith(prefix))
                    .map(line -> line.substring(prefix.length()))
                    .toList();
        }

        @Override
        public void send(Incarnation entry, Message message) {
            // Messages are not checked.
        }

        @Override
        public void start(
                WorkerIncarnation incarnation, String spec, RunRequest run, long fence, long leaseExpiryMillis) {
            // The tests provide the answers.
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
            // The tests provide the answers.
        }

        @Override
        public void logEvent(String event, String detail) {
            events.add(event + " " + detail);
        }

        @Override
        public void count(RunCounter counter) {
            counted.add(counter);
        }
    }
}
