package org.knapweedmount.core.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.config.ConfigKey;
import org.knapweedmount.api.config.ConfigType;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.Release;
import org.knapweedmount.api.message.Start;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.knapweedmount.core.entry.EntryFixture.LOOKUP;
import static org.knapweedmount.core.entry.EntryFixture.LOOKUPS;
import static org.knapweedmount.core.entry.EntryFixture.RESERVATIONS;
import static org.knapweedmount.core.entry.EntryFixture.RESERVE;
import static org.knapweedmount.core.entry.EntryFixture.SERVICE;
import static org.knapweedmount.core.entry.EntryFixture.TEAM;
import static org.knapweedmount.core.entry.EntryFixture.job;

class SchedulingTest {
    private final EntryFixture entry = new EntryFixture();

    private List<Long> leasesUsed() {
        return entry.starts().stream().map(Start::lease).toList();
    }

    @Test
    void shortTaskPrefersReservedThenShortOnlyThenAnyAndUsesNoneOfAnotherFlow() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.grant(agent, 1, LeaseScope.ANY, Optional.of(RESERVATIONS), 0);
        long any = entry.grant(agent, 1);
        long shortOnly = entry.grant(agent, 1, LeaseScope.SHORT_ONLY, Optional.empty(), 0);
        long own = entry.grant(agent, 1, LeaseScope.ANY, Optional.of(LOOKUPS), 0);

        entry.submit(job(LOOKUP, "1", "2", "3", "4"));

        assertThat(leasesUsed(), contains(own, shortOnly, any));
    }

    @Test
    void longTaskDoesNotUseShortOnlyLeases() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.submit(job(RESERVE, "1"));

        entry.grant(agent, 1, LeaseScope.SHORT_ONLY, Optional.empty(), 0);
        entry.advance(1);
        entry.submit(job(RESERVE, "2"));

        assertThat(entry.starts(), is(empty()));
    }

    @Test
    void leasesInTheLocalDataCentreAndOfAgentsWithMoreLeasesArePreferred() {
        PeerAddress remote = new PeerAddress(new Incarnation("agent-0", 1), Role.AGENT, "brest", "127.0.0.1", 0);
        entry.core.linked(remote, entry.now);
        entry.receive(remote.incarnation(), new Capacity(SERVICE, 8, Resources.NONE));
        Incarnation local = entry.agent("agent-1", 8);
        Incarnation localWithMoreLeases = entry.agent("agent-2", 8);
        entry.grant(remote.incarnation(), 5);
        entry.grant(local, 1);
        entry.grant(localWithMoreLeases, 2);

        entry.submit(job(LOOKUP, "1", "2"));

        assertThat(entry.output.to(localWithMoreLeases, Start.class), hasSize(1));
        assertThat(entry.output.to(local, Start.class), hasSize(1));
    }

    @Test
    void reservedLeaseGoesToItsFlowEvenIfAnotherIsDueFirst() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.submit(job(RESERVE, "1"));
        entry.submit(job(LOOKUP, "2"));

        entry.grant(agent, 1, LeaseScope.ANY, Optional.of(LOOKUPS), 0);

        assertThat(entry.lastStart().spec().kind(), is(LOOKUP));
    }

    @Test
    void leaseOfAnotherFlowIsNotUsedWhenItArrives() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.submit(job(RESERVE, "1"));

        entry.grant(agent, 1, LeaseScope.ANY, Optional.of(LOOKUPS), 0);

        assertThat(entry.starts(), is(empty()));
    }

    @Test
    void queuedFlowsShareLeasesByWeightAndRunTime() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.configure(new KindConfig(LOOKUP, SERVICE, true, true, 3, 50, 10_000, Resources.NONE));
        entry.configure(new KindConfig(RESERVE, SERVICE, false, false, 1, 100, 10_000, Resources.NONE));
        for (int i = 0; i < 100; i++) {
            entry.submit(job(RESERVE, "a"));
            entry.submit(job(LOOKUP, "a"));
        }

        entry.grant(agent, 70);

        Map<String, Integer> starts = new HashMap<>();
        entry.starts().forEach(start -> starts.merge(start.spec().kind(), 1, Integer::sum));
        assertThat(starts.get(LOOKUP), is(allOf(greaterThanOrEqualTo(59), lessThanOrEqualTo(61))));
    }

    @Test
    void drainedLeavingAndTimedOutAgentsGetNoTasks() {
        Incarnation drained = entry.agent("agent-1", 8);
        Incarnation leaving = entry.agent("agent-2", 8);
        Incarnation timedOut = entry.agent("agent-3", 8);
        for (Incarnation agent : List.of(drained, leaving, timedOut)) {
            entry.grant(agent, 1);
        }
        entry.configure(new DrainConfig("agent-1"));
        entry.advance(1_600);
        entry.receive(leaving, new Leaving("drained"));
        entry.receive(drained, new Heartbeat(1));
        entry.submit(job(LOOKUP, "1"));
        assertThat(entry.starts(), is(empty()));

        entry.receive(timedOut, new Heartbeat(1));

        assertThat(entry.output.to(timedOut, Start.class), hasSize(1));
    }

    @Test
    void tasksUseTheAgentsLeasesAfterTheDrainIsRemoved() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.grant(agent, 1);
        entry.configure(new DrainConfig(DrainConfig.DATA_CENTRE_PREFIX + "rennes"));
        assertThat(entry.outcomeAndReason(entry.submit(job(LOOKUP, "1"))), is("NOT_RUN/NO_ENDPOINT"));

        entry.configure(new RemovedConfig(new ConfigKey(ConfigType.DRAIN, DrainConfig.DATA_CENTRE_PREFIX + "rennes")));
        entry.submit(job(LOOKUP, "2"));

        assertThat(entry.starts(), hasSize(1));
    }

    @Test
    void agentThatReportsSlotsAgainIsNoLongerLeaving() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.receive(agent, new Leaving("draining"));
        entry.receive(agent, new Capacity(SERVICE, 0, Resources.NONE));
        assertThat(entry.outcomeAndReason(entry.submit(job(LOOKUP, "1"))), is("NOT_RUN/NO_ENDPOINT"));

        entry.receive(agent, new Capacity(SERVICE, 8, Resources.NONE));
        entry.grant(agent, 1);
        entry.submit(job(LOOKUP, "2"));

        assertThat(entry.starts(), hasSize(1));
    }

    @Test
    void taskGoesOnlyToAgentsOfTheRosterVersionInItsId() {
        Incarnation early = entry.agent("agent-1", 8);
        SubmissionId id = entry.issue();
        Incarnation late = entry.agent("agent-2", 8);
        entry.grant(late, 2);

        entry.submit(id, job(RESERVE, "1"));
        entry.submit(job(RESERVE, "2"));
        entry.grant(early, 1);

        assertThat(entry.output.to(late, Start.class), hasSize(1));
        assertThat(entry.output.to(late, Start.class).get(0).spec().body(), is(Payload.of("2")));
        assertThat(entry.output.to(early, Start.class).get(0).task().submission(), is(id));
    }

    @Test
    void taskWaitsForALargeEnoughWorkerWhileSmallerTasksStart() {
        Incarnation small = entry.agent("agent-1", 8);
        Incarnation large = entry.agent("agent-2", 8);
        entry.receive(small, new Capacity(SERVICE, 8, new Resources(1_000, 1_000, 0)));
        entry.receive(large, new Capacity(SERVICE, 8, new Resources(16_000, 32_000, 1)));
        TaskSpec wide = new TaskSpec(LOOKUP, "POST", "/", "", Payload.of("wide"), 0, new Resources(4_000, 1, 1));
        entry.submit(new JobSpec(TEAM, false, List.of(wide)));
        entry.submit(job(LOOKUP, "narrow"));

        entry.grant(small, 2);
        entry.grant(large, 1);

        assertThat(entry.output.to(small, Start.class), hasSize(1));
        assertThat(entry.output.to(large, Start.class).get(0).spec(), is(wide));
    }

    @Test
    void deniedFlowDoesNotUseUnreservedLeasesOfTheAgentForAWhile() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.grant(agent, 2);
        entry.submit(job(RESERVE, "1"));
        entry.deny(agent, entry.lastStart(), Reason.OVER_QUOTA);
        assertThat(entry.starts(), hasSize(1));

        long reserved = entry.grant(agent, 1, LeaseScope.ANY, Optional.of(RESERVATIONS), 0);
        assertThat(entry.lastStart().lease(), is(reserved));
        entry.deny(agent, entry.lastStart(), Reason.LEASE_LAPSED);
        entry.advance(99);
        assertThat(entry.starts(), hasSize(2));
        entry.advance(1);

        assertThat(entry.starts(), hasSize(3));
    }

    @Test
    void recallReleasesTheOldestIdleLeases() {
        Incarnation agent = entry.agent("agent-1", 8);
        long first = entry.grant(agent, 2);
        entry.grant(agent, 1, LeaseScope.SHORT_ONLY, Optional.empty(), 0);

        entry.receive(agent, new Recall(SERVICE, 2));
        entry.receive(agent, new Recall(SERVICE, 5));

        assertThat(
                entry.output.to(agent, Release.class),
                contains(new Release(SERVICE, List.of(first, first + 1)), new Release(SERVICE, List.of(first + 2))));
    }

    @Test
    void leasesAreDiscardedWhenTheLinkIsLost() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.grant(agent, 2);
        entry.core.unlinked(agent, entry.now);
        entry.agent("agent-1", 8);

        entry.submit(job(LOOKUP, "1"));

        assertThat(entry.starts(), is(empty()));
    }

    @Test
    void startCarriesTheNumberOfQueuedTasksOfItsFlow() {
        Incarnation agent = entry.agent("agent-1", 8);
        entry.submit(job(RESERVE, "1", "2", "3"));

        entry.grant(agent, 2);

        assertThat(entry.starts().stream().map(Start::queued).toList(), contains(2, 1));
    }
}
