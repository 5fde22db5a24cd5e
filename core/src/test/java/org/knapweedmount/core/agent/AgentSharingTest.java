package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Recall;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.knapweedmount.core.agent.AgentFixture.BALANCE;
import static org.knapweedmount.core.agent.AgentFixture.COMPLETED;
import static org.knapweedmount.core.agent.AgentFixture.E1;
import static org.knapweedmount.core.agent.AgentFixture.E2;
import static org.knapweedmount.core.agent.AgentFixture.SERVICE;
import static org.knapweedmount.core.agent.AgentFixture.SETTLEMENT;
import static org.knapweedmount.core.agent.AgentFixture.TTL_MILLIS;

class AgentSharingTest {
    private static final int FLOOD = 1_000;

    private final AgentFixture fixture = new AgentFixture();

    @Test
    void floodLeavesTheOtherKindItsShareByWeight() {
        fixture.configure(AgentFixture.kind("balance", true, 3, Resources.NONE));
        fixture.announce("a", 8);
        fixture.link(E1);
        FloodedEntry entry = new FloodedEntry(Map.of(SETTLEMENT, FLOOD, BALANCE, FLOOD));

        Map<Flow, Integer> started = entry.run(100);

        assertThat(started.get(SETTLEMENT) + started.get(BALANCE), is(808));
        assertThat(started.get(BALANCE), allOf(greaterThanOrEqualTo(560), lessThanOrEqualTo(640)));
    }

    @Test
    void floodLeavesASlotFreeForARecentlyActiveKind() {
        fixture.announce("a", 8);
        fixture.link(E1);
        FloodedEntry entry = new FloodedEntry(Map.of(SETTLEMENT, FLOOD, BALANCE, 1));
        List<Long> leases = fixture.leases(E1);
        entry.use(leases.get(0), BALANCE);
        leases.subList(1, 8).forEach(lease -> entry.use(lease, SETTLEMENT));

        entry.run(3);

        assertThat(entry.running, hasSize(7));
        fixture.link(E2);
        assertThat(fixture.leases(E2), hasSize(1));
    }

    @Test
    void freedSlotStaysWithItsFlowWhileAnotherFlowOfTheEntryHasNoRoom() {
        fixture.announce("a", 2);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        fixture.send(E1, leases.get(0), SETTLEMENT, FLOOD);
        TaskId task = fixture.send(E1, leases.get(1), BALANCE, 0);

        fixture.end(task, COMPLETED);

        Optional<Grant> next = fixture.output.take(E1, Finished.class).get(0).next();
        assertThat(next.flatMap(Grant::flow), is(Optional.of(BALANCE)));
    }

    @Test
    void longTasksDoNotUseTheShortOnlySlots() {
        fixture.configure(new ServiceConfig(SERVICE, "balance", 1_000, 0.2));
        fixture.announce("a", 4);

        fixture.link(E1);

        List<Grant> grants = fixture.output.take(E1, Grant.class);
        assertThat(grants.stream().map(Grant::scope).toList(), contains(LeaseScope.ANY, LeaseScope.SHORT_ONLY));
        assertThat(grants.stream().map(Grant::count).toList(), contains(3, 1));
        TaskId task = fixture.send(E1, grants.get(1).firstLease(), SETTLEMENT, 0);
        assertThat(
                fixture.output.take(E1, NotStarted.class),
                contains(new NotStarted(task, fixture.sequence(E1), Reason.LEASE_LAPSED)));
    }

    @Test
    void demandOfALongKindRecallsLeasesThatItMayUse() {
        fixture.configure(new ServiceConfig(SERVICE, "balance", 1_000, 0.5));
        fixture.announce("a", 4);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        fixture.link(E2);
        fixture.advance(100);
        fixture.output.take(E2);

        fixture.demand(E2, SETTLEMENT, 3);
        fixture.release(E1, leases);

        List<Grant> grants = fixture.output.take(E2, Grant.class);
        assertThat(grants.get(0).scope(), is(LeaseScope.ANY));
        assertThat(grants.get(0).flow(), is(Optional.of(SETTLEMENT)));
        assertThat(grants.get(0).count(), is(2));
    }

    @Test
    void leaseForShortTasksOnlyIsRecalledForALongOneIfShortTasksHoldTheOtherSlots() {
        fixture.configure(new ServiceConfig(SERVICE, "balance", 1_000, 0.2));
        fixture.announce("a", 4);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        leases.subList(0, 3).forEach(lease -> fixture.send(E1, lease, BALANCE, 0));
        fixture.link(E2);

        fixture.demand(E2, SETTLEMENT, 1);
        assertThat(fixture.output.take(E1), contains(new Recall(SERVICE, 1)));
        fixture.release(E1, leases.subList(3, 4));

        assertThat(fixture.grants(E2).get(0).scope(), is(LeaseScope.ANY));
    }

    @Test
    void teamHoldsNoMoreThanItsQuota() {
        fixture.configure(new TeamConfig("office", 1, 0.25));
        fixture.announce("a", 8);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        fixture.send(E1, leases.get(0), SETTLEMENT, 0);
        fixture.send(E1, leases.get(1), SETTLEMENT, 0);

        TaskId third = fixture.send(E1, leases.get(2), SETTLEMENT, 0);

        assertThat(fixture.output.take(E1), contains(new NotStarted(third, fixture.sequence(E1), Reason.OVER_QUOTA)));
        assertThat(fixture.counters.value(AgentCounter.OVER_QUOTA_STARTS), is(1L));
    }

    @Test
    void refusedTaskOfATeamGetsALeaseWhenTheQuotaAllows() {
        fixture.configure(new TeamConfig("office", 1, 0.1));
        fixture.announce("a", 4);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        TaskId first = fixture.send(E1, leases.get(0), SETTLEMENT, 0);
        fixture.send(E1, leases.get(1), SETTLEMENT, 0);
        fixture.output.take(E1);

        fixture.end(first, COMPLETED);

        Optional<Grant> next = fixture.output.take(E1, Finished.class).get(0).next();
        assertThat(next.flatMap(Grant::flow), is(Optional.of(SETTLEMENT)));
    }

    @Test
    void workerIsNotOverloadedByObservedUsage() {
        Resources worker = new Resources(4_000, 8_000, 0);
        fixture.configure(AgentFixture.kind("settlement", false, 1, new Resources(1_000, 1_000, 0)));
        fixture.announce(new EndpointAnnouncement("w", SERVICE, "127.0.0.1", 80, 8, 64, TTL_MILLIS, worker));
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        TaskId first = fixture.send(E1, leases.get(0), SETTLEMENT, 0);
        fixture.agent.usageReported("w", "settlement", new Resources(1_000, 4_000, 0), fixture.now);
        fixture.send(E1, leases.get(1), SETTLEMENT, 0);

        TaskId third = fixture.send(E1, leases.get(2), SETTLEMENT, 0);

        assertThat(fixture.output.take(E1), contains(new NotStarted(third, fixture.sequence(E1), Reason.LEASE_LAPSED)));
        fixture.end(first, COMPLETED);
        Optional<Grant> next = fixture.output.take(E1, Finished.class).get(0).next();
        assertThat(next.flatMap(Grant::flow), is(Optional.of(SETTLEMENT)));
    }

    @Test
    void taskThatFitsNoWorkerIsRefusedWithThatReason() {
        fixture.configure(AgentFixture.kind("settlement", false, 1, new Resources(0, 0, 1)));
        Resources worker = new Resources(4_000, 8_000, 0);
        fixture.announce(new EndpointAnnouncement("w", SERVICE, "127.0.0.1", 80, 8, 64, TTL_MILLIS, worker));
        fixture.link(E1);

        TaskId task = fixture.send(E1, fixture.leases(E1).get(0), SETTLEMENT, 0);

        assertThat(
                fixture.output.take(E1, NotStarted.class),
                contains(new NotStarted(task, fixture.sequence(E1), Reason.FITS_NO_WORKER)));
        assertThat(fixture.output.takeStarted().keySet(), is(empty()));
    }

    /** An entry with more queued tasks than slots, all with the same run time. */
    private final class FloodedEntry {
        private final Map<Flow, Integer> queued;
        private final Map<Flow, Integer> started = new HashMap<>();
        private final List<TaskId> running = new ArrayList<>();

        FloodedEntry(Map<Flow, Integer> queued) {
            this.queued = new HashMap<>(queued);
        }

        /** Repeatedly uses every lease and ends all running tasks; returns the number of starts per flow. */
        Map<Flow, Integer> run(int rounds) {
            for (int round = 0; round < rounds; round++) {
                fixture.grants(E1).forEach(this::use);
                fixture.demand(E1, queued);
                fixture.advance(100);
                List<TaskId> ending = List.copyOf(running);
                running.clear();
                ending.forEach(task -> fixture.end(task, COMPLETED));
            }
            fixture.grants(E1).forEach(this::use);
            return started;
        }

        private void use(Grant grant) {
            Flow flow = grant.flow().orElse(SETTLEMENT);
            if (queued.get(flow) == 0) {
                fixture.release(E1, AgentFixture.numbers(grant));
                return;
            }
            AgentFixture.numbers(grant).forEach(lease -> use(lease, flow));
        }

        private void use(long lease, Flow flow) {
            int left = queued.merge(flow, -1, Integer::sum);
            started.merge(flow, 1, Integer::sum);
            running.add(fixture.send(E1, lease, flow, left));
        }
    }
}
