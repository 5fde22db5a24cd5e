package org.knapweedmount.core.worker;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
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
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Checks that a new agent can give orders to its worker, whatever token an earlier agent has left there. */
class SuccessorTokenTest {
    private static final Incarnation ENTRY = new Incarnation("entry", 1);
    private static final RunRef RUN = new RunRef("t1", 1);
    private static final Resources CORE = new Resources(1_000, 100, 0);
    private static final long BIRTH = 1_787_959_000_000L;
    private static final long CLOCK = 2_000_000;
    private static final long LATER_CLOCK = 9_000_000;

    /** The time until a new agent accepts starts, in ms: runs of an earlier worker take 1,072 ms to end. */
    private static final int MAX_OPEN_MILLIS = 2_000;

    /** The greatest whole number that each JSON decoder reads exactly. */
    private static final long MAX_TOKEN = (1L << 53) - 1;

    private static final int CALL_MILLIS = 10;
    private static final int TICK_MILLIS = 20;
    private static final int ANNOUNCEMENT_MILLIS = 1_500;

    private long nowMillis = 1_000;

    private static long millisToNanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static LongStream earlierTokens() {
        return LongStream.of(
                BIRTH + CLOCK + 1,
                BIRTH + CLOCK + 60_000,
                BIRTH + LATER_CLOCK,
                BIRTH + TimeUnit.DAYS.toMillis(3_650),
                MAX_TOKEN / 2,
                MAX_TOKEN);
    }

    private Life life(String id, long startMillis, long clockMillis) {
        return new Life(new WorkerIncarnation(id, startMillis), clockMillis - nowMillis);
    }

    /** Lets an agent and a worker work side by side for a time. */
    private void run(Agent agent, Life life, int millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            if (nowMillis >= agent.announceMillis) {
                agent.announceMillis = nowMillis + ANNOUNCEMENT_MILLIS;
                agent.worker.announced(life.announcement(nowMillis), millisToNanos(nowMillis));
            }
            if (nowMillis % TICK_MILLIS == 0) {
                agent.worker.tick(millisToNanos(nowMillis));
            }
            agent.answerCalls(life);
            nowMillis++;
        }
    }

    private Agent startAgent() {
        Agent agent = new Agent();
        agent.worker.linked(ENTRY, millisToNanos(nowMillis));
        return agent;
    }

    /** Checks that an agent that has just started accepts starts in time, and that the worker executes one. */
    private void assertOpens(Agent agent, Life life) {
        long startMillis = nowMillis;
        while (!agent.acceptsStarts && nowMillis < startMillis + MAX_OPEN_MILLIS) {
            run(agent, life, 1);
        }
        assertThat("accepts starts, at token " + agent.lastToken, agent.acceptsStarts, is(true));
        List<JobRuns> jobs = List.of(new JobRuns("queue", "spec", List.of(new RunRequest(RUN, CORE, 300, ""))));
        agent.worker.receive(
                ENTRY, new RunOrder(1, agent.timestampNanos, 0, jobs, ResourceDemand.NONE), millisToNanos(nowMillis));
        run(agent, life, 2 * CALL_MILLIS);
        assertThat(life.started, contains(RUN));
    }

    @Test
    void agentOpensAWorkerAfterOneThatServedAnotherWorkerWithALaterClock() {
        Agent earlier = startAgent();
        run(earlier, life("i-1", BIRTH, LATER_CLOCK), 3_000);
        earlier.announceMillis = nowMillis;
        Life worker = life("i-2", BIRTH + 3_000, CLOCK);
        run(earlier, worker, 3_000);
        assertThat("the earlier agent was in charge", worker.highestToken, greaterThan(0L));

        assertOpens(startAgent(), worker);
    }

    /** A call that is executed seconds late may reach the worker after it has started again under its ID. */
    @Test
    void agentOpensARebornWorkerThatALateCallOfAnEarlierAgentHasReached() {
        Agent earlier = startAgent();
        run(earlier, life("i-1", BIRTH, LATER_CLOCK), 3_000);
        Life reborn = life("i-1", BIRTH + 3_000, 0);
        reborn.accepts(earlier.lastToken);

        assertOpens(startAgent(), reborn);
    }

    @ParameterizedTest
    @MethodSource("earlierTokens")
    void agentOpensAWorkerWithAnyTokenOfAnEarlierAgent(long token) {
        Life worker = life("i-1", BIRTH, CLOCK);
        worker.accepts(token);

        assertOpens(startAgent(), worker);
    }

    /** Calls of the earlier agent may still be executed late. */
    @Test
    void tokenOfANewAgentIsAboveThatOfTheEarlierOneOnTheSameWorker() {
        Life worker = life("i-1", BIRTH, CLOCK);
        Agent earlier = startAgent();
        run(earlier, worker, 3_000);
        long earlierToken = earlier.lastToken;

        assertOpens(startAgent(), worker);

        assertThat(worker.highestToken, greaterThan(earlierToken));
    }

    /**
     * The clock of an incarnation begins at any value, so that the time of the worker does not rise from one to the next. A
     * call that is executed seconds late reaches the worker that has started again under its ID.
     */
    @Test
    void lateCallOfAnEarlierAgentIsRefusedByARebornWorkerThatANewAgentHasOpened() {
        Agent earlier = startAgent();
        run(earlier, life("i-1", BIRTH, LATER_CLOCK), 3_000);
        Life reborn = life("i-1", BIRTH + 3_000, CLOCK);

        assertOpens(startAgent(), reborn);

        assertThat("late call accepted", reborn.accepts(earlier.lastToken), is(false));
    }

    /** One incarnation of a worker, which keeps the highest token that it has seen. */
    private static final class Life {
        private final WorkerIncarnation incarnation;
        private final long clockOffsetMillis;
        private final List<RunRef> started = new ArrayList<>();
        private long sequence;
        private long highestToken;

        private Life(WorkerIncarnation incarnation, long clockOffsetMillis) {
            this.incarnation = incarnation;
            this.clockOffsetMillis = clockOffsetMillis;
        }

        private WorkerAnnouncement announcement(long nowMillis) {
            sequence++;
            Resources capacity = new Resources(4_000, 1_000, 0);
            return new WorkerAnnouncement(
                    incarnation, "service", sequence, capacity, List.of(), false, nowMillis + clockOffsetMillis);
        }

        private boolean accepts(long token) {
            boolean accepted = token >= highestToken;
            highestToken = Math.max(highestToken, token);
            return accepted;
        }

        private RunList list(long nowMillis) {
            List<RunList.Running> running = started.stream()
                    .map(ref -> new RunList.Running(ref, "", 10))
                    .toList();
            return new RunList(incarnation.startMillis(), nowMillis + clockOffsetMillis, running, List.of());
        }
    }

    /** An agent whose calls are answered after a time. */
    private final class Agent implements WorkerOutput {
        private final WorkerAgent worker =
                new WorkerAgent(this, new ProcessStart(millisToNanos(nowMillis), BIRTH + nowMillis));
        private final Deque<Call> calls = new ArrayDeque<>();
        private long announceMillis;
        private long timestampNanos;
        private long lastToken;
        private boolean acceptsStarts;

        private record Call(
                WorkerIncarnation incarnation, long token, long sentNanos, long dueMillis, List<RunRef> started) {}

        private void answerCalls(Life life) {
            while (!calls.isEmpty() && calls.peek().dueMillis() <= nowMillis) {
                answer(calls.remove(), life);
            }
        }

        private void answer(Call call, Life life) {
            long nowNanos = millisToNanos(nowMillis);
            boolean present = call.incarnation().id().equals(life.incarnation.id());
            boolean accepted = present && life.accepts(call.token());
            if (call.started().isEmpty()) {
                if (accepted) {
                    worker.listAnswered(call.incarnation(), call.sentNanos(), life.list(nowMillis), nowNanos);
                } else {
                    RunListFailure failure = present ? RunListFailure.FENCED : RunListFailure.OTHER_LIFE;
                    worker.listFailed(call.incarnation(), call.sentNanos(), failure, nowNanos);
                }
                return;
            }
            if (accepted) {
                life.started.addAll(call.started());
            }
            StartReply refusal = present ? StartReply.FENCED : StartReply.OTHER_LIFE;
            worker.startAnswered(
                    call.incarnation(), call.started().get(0), accepted ? StartReply.STARTED : refusal, nowNanos);
        }

        @Override
        public void send(Incarnation entry, Message message) {
            if (message instanceof WorkerReport report) {
                acceptsStarts = report.acceptsStarts();
                timestampNanos = report.timestampNanos();
            }
        }

        @Override
        public void start(
                WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long leaseExpiryMillis) {
            calls.add(new Call(
                    incarnation, fence, millisToNanos(nowMillis), nowMillis + CALL_MILLIS, List.of(request.ref())));
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
            lastToken = fence;
            calls.add(new Call(incarnation, fence, sentNanos, nowMillis + CALL_MILLIS, List.of()));
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
