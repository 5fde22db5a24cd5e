package org.knapweedmount.core.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Checks that a worker is taken over from one that has left although the VM's time of day was set back in between. */
class DepartedWorkerTest {
    private static final Incarnation ENTRY = new Incarnation("entry", 1);
    private static final long BIRTH = 1_787_959_000_000L;
    private static final int SET_BACK_MILLIS = 5_000;
    private static final int TICK_MILLIS = 40;
    private static final int ANNOUNCEMENT_MILLIS = 1_500;
    private static final int MAX_OPEN_MILLIS = 10_000;

    private final Port port = new Port();
    private final WorkerAgent agent = new WorkerAgent(port, new ProcessStart(-millisToNanos(2_000), BIRTH));
    private WorkerIncarnation present = new WorkerIncarnation("i-1", BIRTH);
    private long sequence;
    private long nowMillis;

    private static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Lets the present worker announce itself and answer all calls for a time, or until the agent is open. */
    private void run(int millis, boolean untilOpen) {
        agent.linked(ENTRY, millisToNanos(nowMillis));
        for (long end = nowMillis + millis; nowMillis < end && !(untilOpen && port.accepts); nowMillis++) {
            if (nowMillis % ANNOUNCEMENT_MILLIS == 0) {
                sequence++;
                Resources capacity = new Resources(4_000, 1_000, 0);
                agent.announced(
                        new WorkerAnnouncement(present, "service", sequence, capacity, List.of(), false, nowMillis),
                        millisToNanos(nowMillis));
            }
            if (nowMillis % TICK_MILLIS == 0) {
                agent.tick(millisToNanos(nowMillis));
            }
            port.answer();
        }
    }

    private void replaceBy(String id) {
        agent.workerLeft(present.id(), millisToNanos(nowMillis));
        present = new WorkerIncarnation(id, BIRTH - SET_BACK_MILLIS);
        sequence = 0;
        port.accepts = false;
    }

    /** A worker that has left is asked for nothing, so that nothing shows that another one answers in its place. */
    @Test
    void workerThatSeemsToHaveStartedEarlierTakesOverFromOneThatHasLeft() {
        run(3_000, false);
        assertThat("open before", port.accepts, is(true));
        replaceBy("i-2");

        run(MAX_OPEN_MILLIS, true);

        assertThat("open", port.accepts, is(true));
    }

    /** An announcement under the same ID, with an earlier birth, is taken for a late one for ever. */
    @Test
    void workerThatStartsAgainUnderItsIdAfterItHasLeftTakesOverAlthoughItSeemsToHaveStartedEarlier() {
        run(3_000, false);
        assertThat("open before", port.accepts, is(true));
        replaceBy("i-1");

        run(MAX_OPEN_MILLIS, true);

        assertThat("open", port.accepts, is(true));
    }

    private final class Port implements WorkerOutput {
        private final List<Runnable> answers = new ArrayList<>();
        private boolean accepts;

        private void answer() {
            List<Runnable> due = List.copyOf(answers);
            answers.clear();
            due.forEach(Runnable::run);
        }

        @Override
        public void send(Incarnation entry, Message message) {
            if (message instanceof WorkerReport report) {
                accepts = report.acceptsStarts();
            }
        }

        @Override
        public void start(
                WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long leaseExpiryMillis) {
            // The tests start no runs.
        }

        @Override
        public void stop(WorkerIncarnation incarnation, RunRef run, long fence) {
            // The tests stop no runs.
        }

        @Override
        public void list(
                WorkerIncarnation incarnation,
                long fence,
                long acknowledged,
                long leaseExpiryMillis,
                long sentNanos,
                int waitMillis) {
            answers.add(() -> {
                long nowNanos = millisToNanos(nowMillis);
                if (incarnation.id().equals(present.id())) {
                    RunList list = new RunList(present.startMillis(), nowMillis, List.of(), List.of());
                    agent.listAnswered(incarnation, sentNanos, list, nowNanos);
                } else {
                    agent.listFailed(incarnation, sentNanos, RunListFailure.OTHER_LIFE, nowNanos);
                }
            });
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
