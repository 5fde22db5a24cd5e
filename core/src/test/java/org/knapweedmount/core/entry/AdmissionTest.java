package org.knapweedmount.core.entry;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.message.Capacity;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.knapweedmount.core.entry.EntryFixture.LOOKUP;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.SERVICE;
import static org.knapweedmount.core.entry.EntryFixture.TEAM;
import static org.knapweedmount.core.entry.EntryFixture.complete;
import static org.knapweedmount.core.entry.EntryFixture.job;
import static org.knapweedmount.core.entry.EntryFixture.task;

class AdmissionTest {
    private final EntryFixture entry = new EntryFixture();
    private final Incarnation agent = entry.agent("agent-1", 8);

    private String refusal(JobSpec job) {
        return entry.outcomeAndReason(entry.submit(job));
    }

    @Test
    void unknownKindsAndTeamsAreRefused() {
        entry.configure(new ServiceConfig("dues", "balance", 1_000, 0));
        entry.configure(new KindConfig("balance", "dues", true, true, 1, 100, 1_000, Resources.NONE));

        assertThat(refusal(job("nothing", "a")), is("NOT_RUN/UNKNOWN_KIND"));
        assertThat(refusal(job("balance", "a")), is("NOT_RUN/UNKNOWN_KIND"));
        JobSpec otherTeam = new JobSpec("nobody", false, job(LOOKUP, "a").tasks());
        assertThat(refusal(otherTeam), is("NOT_RUN/UNKNOWN_TEAM"));
    }

    @Test
    void jobsOverALimitAreRefused() {
        String[] tooMany = Collections.nCopies(51, "a").toArray(String[]::new);

        assertThat(refusal(job(LOOKUP, tooMany)), is("NOT_RUN/TOO_LARGE"));
        assertThat(refusal(job(LOOKUP, "a".repeat(1_001))), is("NOT_RUN/TOO_LARGE"));
    }

    @Test
    void taskLargerThanAnyWorkerIsRefused() {
        entry.receive(agent, new Capacity(SERVICE, 8, new Resources(16_000, 32_000, 0)));
        TaskSpec wide = new TaskSpec(LOOKUP, "POST", "/", "", Payload.EMPTY, 0, new Resources(17_000, 1, 0));
        TaskSpec fitting = new TaskSpec(LOOKUP, "POST", "/", "", Payload.EMPTY, 0, new Resources(16_000, 1, 0));

        assertThat(refusal(new JobSpec(TEAM, false, List.of(wide))), is("NOT_RUN/FITS_NO_WORKER"));
        assertThat(entry.answered(entry.submit(new JobSpec(TEAM, false, List.of(fitting)))), is(false));
    }

    @Test
    void jobsAreRefusedWithoutAnEndpoint() {
        entry.receive(agent, new Capacity(SERVICE, 0, Resources.NONE));

        assertThat(refusal(job(LOOKUP, "a")), is("NOT_RUN/NO_ENDPOINT"));
    }

    @Test
    void longPredictedWaitIsRefusedWithJitteredRetryAfter() {
        Set<Integer> retryAfterMillis = new HashSet<>();
        for (int i = 0; i < 200; i++) {
            long request = entry.submit(job(LOOKUP, "a"));
            if (entry.answered(request)) {
                assertThat(entry.outcomeAndReason(request), is("NOT_RUN/OVERLOADED"));
                retryAfterMillis.add(entry.answer(request).retryAfterMillis());
            }
        }

        // With 8 slots and 100 ms per task, 80 tasks wait up to 1,000 ms.
        assertThat(entry.core.status(entry.now).queues().get(0).queued(), is(81));
        assertThat(retryAfterMillis, hasSize(greaterThan(50)));
        assertThat(Collections.min(retryAfterMillis), is(allOf(greaterThan(99), lessThan(200))));
    }

    @Test
    void overloadOfOneFlowDoesNotBlockOthers() {
        for (int i = 0; i < 500; i++) {
            entry.submit(job(RESERVE, "a"));
        }

        assertThat(entry.answered(entry.submit(job(LOOKUP, "kiosk"))), is(false));
    }

    @Test
    void oneFlowTakesAtMostHalfOfTheQueues() {
        entry.configure(new KindConfig(RESERVE, SERVICE, false, false, 1, 100, 1_000_000, Resources.NONE));
        for (int i = 0; i < 600; i++) {
            entry.submit(job(RESERVE, "a"));
        }

        assertThat(entry.core.status(entry.now).queues().get(0).queued(), is(500));
    }

    @Test
    void observedDepartureRateReplacesTheExpectedOne() {
        entry.configure(new TeamConfig(TEAM, 1, 1));
        for (int i = 0; i < 40; i++) {
            entry.submit(job(LOOKUP, "a"));
        }
        for (int i = 0; i < 10; i++) {
            entry.advance(100);
            entry.grant(agent, 1);
            entry.finish(agent, entry.lastStart(), complete(""));
        }

        // 30 tasks wait and 10 per second leave, although 80 per second were expected from 8 slots.
        assertThat(refusal(job(LOOKUP, "late")), is("NOT_RUN/OVERLOADED"));
    }

    @Test
    void jobThatExceedsTheWaitLimitIsNotRun() {
        long request = entry.submit(job(RESERVE, "lens", "hood"));

        entry.advance(1_900);
        assertThat(entry.answered(request), is(false));
        entry.advance(200);

        assertThat(entry.outcomeAndReason(request), is("NOT_RUN/OVERLOADED"));
        entry.grant(agent, 2);
        assertThat(entry.starts(), hasSize(0));
    }

    @Test
    void startedJobIsNotEndedForWaitingLong() {
        entry.grant(agent, 1);
        long request = entry.submit(new JobSpec(TEAM, false, List.of(task(RESERVE, "lens"), task(RESERVE, "hood"))));

        entry.advance(10_000);

        assertThat(entry.answered(request), is(false));
    }
}
