package org.knapweedmount.core.entry;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.Resume;
import org.knapweedmount.api.message.Resumed;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.entry.EntryFixture.LOOKUP;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.SERVICE;
import static org.knapweedmount.core.entry.EntryFixture.TEAM;
import static org.knapweedmount.core.entry.EntryFixture.complete;
import static org.knapweedmount.core.entry.EntryFixture.failed;
import static org.knapweedmount.core.entry.EntryFixture.job;
import static org.knapweedmount.core.entry.EntryFixture.task;

class InFlightTasksTest {
    private static final TaskResult LOST = TaskResult.of(Outcome.FAILED, Reason.CONNECTION_LOST);

    private final EntryFixture entry = new EntryFixture();
    private final Incarnation agent = entry.agent("agent-1", 8);

    /** Submits a job of one task, which is started, then breaks and restores the link to its agent. */
    private long submitAndRelink(String kind) {
        entry.grant(agent, 1);
        long request = entry.submit(job(kind, "lens"));
        entry.core.unlinked(agent, entry.now);
        entry.agent("agent-1", 8);
        return request;
    }

    private void resumed(TaskState state, Optional<TaskResult> result) {
        Start start = entry.starts().get(0);
        entry.receive(agent, new Resumed(start.sequence(), List.of(new TaskReport(start.task(), state, result))));
    }

    @Test
    void newLinkAsksForTheTasksSentOverTheOldOne() {
        submitAndRelink(RESERVE);

        Start start = entry.lastStart();
        assertThat(entry.output.to(agent, Resume.class), contains(new Resume(1, List.of(start.task()))));
    }

    @Test
    void taskThatTheAgentDidNotStartIsStartedAgain() {
        long request = submitAndRelink(RESERVE);
        entry.grant(agent, 1);
        assertThat(entry.starts(), hasSize(1));

        resumed(TaskState.NOT_STARTED, Optional.empty());

        assertThat(entry.starts(), hasSize(2));
        assertThat(entry.lastStart().sequence(), is(2L));
        entry.finish(agent, entry.lastStart(), complete("reserved"));
        assertThat(entry.outcomeAndReason(request), is("COMPLETE/NONE"));
    }

    @Test
    void runningTaskIsAwaitedBeyondTheTimeLimit() {
        long request = submitAndRelink(RESERVE);

        resumed(TaskState.RUNNING, Optional.empty());
        entry.advance(10_000);
        assertThat(entry.answered(request), is(false));
        entry.finish(agent, entry.lastStart(), complete("reserved"));

        assertThat(entry.outcomeAndReason(request), is("COMPLETE/NONE"));
    }

    @Test
    void finishedTaskGivesItsResult() {
        long request = submitAndRelink(RESERVE);

        resumed(TaskState.FINISHED, Optional.of(complete("reserved")));

        assertThat(entry.outcomeAndReason(request), is("COMPLETE/NONE"));
    }

    @Test
    void reportOfATaskThatWasSentAgainSinceIsIgnored() {
        submitAndRelink(RESERVE);
        resumed(TaskState.NOT_STARTED, Optional.empty());
        entry.grant(agent, 2);
        assertThat(entry.starts(), hasSize(2));

        resumed(TaskState.NOT_STARTED, Optional.empty());

        assertThat(entry.starts(), hasSize(2));
    }

    @Test
    void taskWithDiscardedRecordIsUnknown() {
        long request = submitAndRelink(RESERVE);

        resumed(TaskState.FORGOTTEN, Optional.empty());

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/FORGOTTEN"));
    }

    @Test
    void taskOfAnAgentThatIsNotRelinkedIsUnknownAndNeverRestarted() {
        entry.grant(agent, 1);
        long request = entry.submit(job(RESERVE, "lens"));
        entry.core.unlinked(agent, entry.now);
        entry.advance(4_999);
        assertThat(entry.answered(request), is(false));

        entry.advance(1);
        entry.grant(entry.agent("agent-1", 8), 1);
        resumed(TaskState.NOT_STARTED, Optional.empty());

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/CONNECTION_LOST"));
        assertThat(entry.starts(), hasSize(1));
    }

    @Test
    void agentRestartEndsTheWaitImmediately() {
        entry.grant(agent, 1);
        long request = entry.submit(job(RESERVE, "lens"));
        entry.core.unlinked(agent, entry.now);

        PeerAddress restarted = new PeerAddress(new Incarnation("agent-1", 2), Role.AGENT, "rennes", "127.0.0.1", 0);
        entry.core.linked(restarted, entry.now);

        assertThat(entry.outcomeAndReason(request), is("UNKNOWN/CONNECTION_LOST"));
    }

    @Test
    void leaseInADuplicateResultIsUsed() {
        entry.grant(agent, 1);
        entry.submit(job(RESERVE, "lens"));
        Start first = entry.lastStart();
        entry.finish(agent, first, complete("reserved"));
        entry.submit(job(RESERVE, "hood"));

        Grant next = new Grant(SERVICE, 77, 1, LeaseScope.ANY, Optional.empty(), 0);
        entry.receive(agent, new Finished(first.task(), 1, complete("reserved"), Optional.of(next)));

        assertThat(entry.lastStart().lease(), is(77L));
    }

    @Test
    void repeatableRequestIsRetriedOnceAtAnotherAgent() {
        Incarnation other = entry.agent("agent-2", 8);
        entry.grant(agent, 1);
        long request = entry.submit(job(LOOKUP, "lens"));

        entry.finish(agent, entry.lastStart(), failed(503));
        entry.grant(agent, 1);
        assertThat(entry.starts(), hasSize(1));
        entry.grant(other, 1);
        assertThat(entry.starts().get(1).task(), is(entry.starts().get(0).task()));
        entry.finish(other, entry.lastStart(), LOST);

        assertThat(entry.outcomeAndReason(request), is("FAILED/CONNECTION_LOST"));
        assertThat(entry.starts(), hasSize(2));
    }

    @Test
    void nonRetryableRequestRunsOnce() {
        entry.agent("agent-2", 8);
        entry.grant(agent, 4);

        long notRepeatable = entry.submit(job(RESERVE, "lens"));
        entry.finish(agent, entry.lastStart(), failed(503));
        long atMostOnce = entry.submit(new JobSpec(TEAM, true, List.of(task(LOOKUP, "lens"))));
        entry.finish(agent, entry.lastStart(), failed(503));
        long refusedByEndpoint = entry.submit(job(LOOKUP, "lens"));
        entry.finish(agent, entry.lastStart(), failed(404));

        for (long request : new long[] {notRepeatable, atMostOnce, refusedByEndpoint}) {
            assertThat(entry.outcomeAndReason(request), is("FAILED/TASK_FAILED"));
        }
    }

    @Test
    void withoutAnotherAgentThereIsNoRetry() {
        entry.grant(agent, 1);
        long request = entry.submit(job(LOOKUP, "lens"));

        entry.finish(agent, entry.lastStart(), failed(503));

        assertThat(entry.outcomeAndReason(request), is("FAILED/TASK_FAILED"));
    }

    @Test
    void retryWithoutALeaseReturnsTheFirstResult() {
        entry.agent("agent-2", 8);
        entry.grant(agent, 1);
        long request = entry.submit(job(LOOKUP, "lens"));
        entry.finish(agent, entry.lastStart(), failed(503));

        entry.advance(2_100);

        assertThat(entry.outcomeAndReason(request), is("FAILED/TASK_FAILED"));
    }

    @Test
    void retriesStayWithinTheirShareOfTheRequests() {
        Incarnation other = entry.agent("agent-2", 8);
        for (int i = 0; i < 200; i++) {
            entry.grant(agent, 1);
            entry.submit(job(LOOKUP, "lens"));
            entry.finish(agent, entry.lastStart(), failed(503));
            entry.grant(other, 1);
            entry.finish(other, entry.lastStart(), failed(503));
            entry.receive(other, new Recall(SERVICE, 9));
        }

        // The full bucket of 10 tokens gains nothing from the first request, and a tenth of a token from each of the
        // 199 others.
        assertThat(entry.counters.value(EntryCounter.RETRIES), is(29L));
    }

    @Test
    void taskThatNoEndpointAcceptsGoesToAnotherAgentOrIsNotRun() {
        Incarnation other = entry.agent("agent-2", 8);
        TaskResult refused = TaskResult.of(Outcome.NOT_RUN, Reason.ENDPOINT_UNREACHABLE);
        entry.grant(agent, 1);
        long request = entry.submit(job(RESERVE, "lens"));

        entry.finish(agent, entry.lastStart(), refused);
        entry.grant(agent, 1);
        assertThat(entry.starts(), hasSize(1));
        entry.grant(other, 1);
        entry.finish(other, entry.lastStart(), refused);

        assertThat(entry.outcomeAndReason(request), is("NOT_RUN/ENDPOINT_UNREACHABLE"));
    }

    @Test
    void queuedTaskEndsWhenAllItsAgentsWereReplaced() {
        entry.grant(agent, 1);
        long request = entry.submit(job(RESERVE, "lens", "hood"));
        entry.finish(agent, entry.lastStart(), complete("reserved"));
        entry.core.unlinked(agent, entry.now);
        PeerAddress restarted = new PeerAddress(new Incarnation("agent-1", 2), Role.AGENT, "rennes", "127.0.0.1", 0);
        entry.core.linked(restarted, entry.now);
        entry.receive(restarted.incarnation(), new Capacity(SERVICE, 8, Resources.NONE));

        entry.advance(1);
        entry.advance(5_000);

        assertThat(entry.outcomeAndReason(request), is("FAILED/NO_ENDPOINT"));
    }
}
