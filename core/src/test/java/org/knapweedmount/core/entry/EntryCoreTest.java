package org.knapweedmount.core.entry;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.Start;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.entry.EntryFixture.LOOKUP;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.complete;
import static org.knapweedmount.core.entry.EntryFixture.failed;
import static org.knapweedmount.core.entry.EntryFixture.job;

class EntryCoreTest {
    private final EntryFixture entry = new EntryFixture();

    @Test
    void taskStartsImmediatelyUnderAnIdleLease() {
        Incarnation agent = entry.agent("agent-1", 8);
        long lease = entry.grant(agent, 1);

        long request = entry.submit(job(LOOKUP, "lens"));

        Start start = entry.lastStart();
        assertThat(start.lease(), is(lease));
        assertThat(start.sequence(), is(1L));
        entry.finish(agent, start, complete("row 4"));
        assertThat(entry.outcomeAndReason(request), is("COMPLETE/NONE"));
        assertThat(entry.answer(request).results(), contains(complete("row 4")));
        assertThat(entry.core.idle(), is(true));
    }

    @Test
    void queuedTasksStartInOrderOfArrivalWhenLeasesArrive() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.submit(job(LOOKUP, "first"));
        entry.submit(job(LOOKUP, "second"));
        assertThat(entry.starts(), hasSize(0));

        entry.grant(agent, 2);

        assertThat(
                entry.starts().stream().map(start -> start.spec().body().text()).toList(), contains("first", "second"));
    }

    @Test
    void jobIsCompleteOnlyWithTheResultOfEachTaskInOrder() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.grant(agent, 2);
        long request = entry.submit(job(LOOKUP, "first", "second"));

        entry.finish(agent, entry.starts().get(1), complete("2"));
        assertThat(entry.answered(request), is(false));
        entry.finish(agent, entry.starts().get(0), complete("1"));

        assertThat(entry.answer(request).results(), contains(complete("1"), complete("2")));
    }

    @Test
    void failedTaskEndsTheJobAfterTheRunningOnesAndDropsTheQueuedOnes() {
        Incarnation agent = entry.agent("agent-1", 2);
        entry.grant(agent, 2);
        long request = entry.submit(job(RESERVE, "first", "second", "third"));

        entry.finish(agent, entry.starts().get(0), failed(500));
        assertThat(entry.answered(request), is(false));
        entry.finish(agent, entry.starts().get(1), complete("2"));
        entry.grant(agent, 1);

        assertThat(entry.outcomeAndReason(request), is("FAILED/TASK_FAILED"));
        assertThat(entry.answer(request).results(), hasSize(0));
        assertThat(entry.answer(request).detail(), is("task 0 failed with status 500"));
        assertThat(
                entry.answer(request).tasks(),
                contains(failed(500), complete("2").withoutBody(), TaskResult.of(Outcome.NOT_RUN, Reason.TASK_FAILED)));
        assertThat(entry.starts(), hasSize(2));
    }

    @Test
    void resubmissionJoinsAndLaterGetsTheKeptAnswer() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.grant(agent, 8);
        SubmissionId id = entry.issue();
        JobSpec job = job(RESERVE, "lens");
        long first = entry.submit(id, job);
        long second = entry.submit(id, job);
        entry.finish(agent, entry.lastStart(), complete("reserved"));

        long third = entry.submit(id, job);

        assertThat(entry.starts(), hasSize(1));
        for (long request : new long[] {first, second, third}) {
            assertThat(entry.answer(request).results(), contains(complete("reserved")));
        }
    }

    @Test
    void deniedStartIsSentAgainUnderAnotherLease() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.grant(agent, 1);
        long request = entry.submit(job(RESERVE, "lens"));

        entry.deny(agent, entry.lastStart(), Reason.LEASE_LAPSED);
        entry.grant(agent, 1);
        entry.advance(100);

        assertThat(entry.starts(), hasSize(2));
        assertThat(entry.lastStart().sequence(), is(2L));
        entry.finish(agent, entry.lastStart(), complete("reserved"));
        assertThat(entry.outcomeAndReason(request), is("COMPLETE/NONE"));
    }
}
