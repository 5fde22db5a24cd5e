package org.knapweedmount.core.agent;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.Start;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.agent.AgentFixture.BALANCE;
import static org.knapweedmount.core.agent.AgentFixture.COMPLETED;
import static org.knapweedmount.core.agent.AgentFixture.E1;
import static org.knapweedmount.core.agent.AgentFixture.E2;
import static org.knapweedmount.core.agent.AgentFixture.SERVICE;
import static org.knapweedmount.core.agent.AgentFixture.SETTLEMENT;
import static org.knapweedmount.core.agent.AgentFixture.UNREACHABLE;

class AgentCoreTest {
    private final AgentFixture fixture = new AgentFixture();

    @Test
    void linkedEntriesReceiveTheCapacityAndShareTheFreeSlots() {
        fixture.link(E1, E2);

        fixture.announce("a", 4);

        Capacity capacity = new Capacity(SERVICE, 4, Resources.NONE);
        for (Incarnation entry : List.of(E1, E2)) {
            List<Message> messages = fixture.output.take(entry);
            Grant grant = (Grant) messages.get(1);
            assertThat(messages, hasSize(2));
            assertThat(messages.get(0), is(capacity));
            assertThat(grant, is(new Grant(SERVICE, grant.firstLease(), 2, LeaseScope.ANY, Optional.empty(), 2)));
        }
    }

    @Test
    void slotOfAFinishedTaskIsGrantedAgainWithItsResult() {
        fixture.announce("a", 2);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);

        TaskId task = fixture.send(E1, leases.get(0), BALANCE, 0);
        assertThat(fixture.output.takeStarted(), hasKey(task));
        fixture.now += 7_000;
        fixture.end(task, COMPLETED);

        Finished finished = fixture.output.take(E1, Finished.class).get(0);
        assertThat(finished.task(), is(task));
        assertThat(finished.runMicros(), is(7L));
        assertThat(finished.result(), is(COMPLETED));
        assertThat(finished.next().map(Grant::count), is(Optional.of(1)));
        assertThat(fixture.agent.idle(), is(true));
    }

    @Test
    void repeatedStartIsIgnored() {
        fixture.announce("a", 2);
        fixture.link(E1);
        Start start = fixture.start(E1, fixture.leases(E1).get(0), fixture.newTask(E1), BALANCE, 0);

        fixture.receive(E1, start);
        fixture.receive(E1, start);

        assertThat(fixture.output.takeStarted().keySet(), hasSize(1));
        assertThat(fixture.output.take(E1), is(empty()));
        assertThat(fixture.counters.value(AgentCounter.DUPLICATE_STARTS), is(1L));
    }

    @Test
    void startUnderALeaseThatWasUsedIsRefused() {
        fixture.announce("a", 1);
        fixture.link(E1);
        long lease = fixture.leases(E1).get(0);
        fixture.send(E1, lease, BALANCE, 0);

        TaskId second = fixture.send(E1, lease, BALANCE, 0);

        assertThat(
                fixture.output.take(E1), contains(new NotStarted(second, fixture.sequence(E1), Reason.LEASE_LAPSED)));
        assertThat(fixture.counters.value(AgentCounter.LAPSED_LEASES), is(1L));
    }

    @Test
    void startUnderALeaseOfAnotherEntryIsRefused() {
        fixture.announce("a", 2);
        fixture.link(E1, E2);

        TaskId task = fixture.send(E2, fixture.leases(E1).get(0), BALANCE, 0);

        assertThat(
                fixture.output.take(E2, NotStarted.class),
                contains(new NotStarted(task, fixture.sequence(E2), Reason.LEASE_LAPSED)));
        assertThat(fixture.output.takeStarted().keySet(), is(empty()));
    }

    @Test
    void taskThatNeverReachedTheEndpointIsReportedAsNotStarted() {
        fixture.announce("a", 1);
        fixture.link(E1);
        TaskId task = fixture.send(E1, fixture.leases(E1).get(0), BALANCE, 0);

        fixture.end(task, UNREACHABLE);

        assertThat(
                fixture.output.take(E1, NotStarted.class),
                contains(new NotStarted(task, fixture.sequence(E1), Reason.ENDPOINT_UNREACHABLE)));
    }

    @Test
    void freedSlotIsGrantedToTheEntryWithDemand() {
        fixture.announce("a", 1);
        fixture.link(E1, E2);
        TaskId task = fixture.send(E1, fixture.leases(E1).get(0), BALANCE, 0);
        fixture.demand(E2, SETTLEMENT, 3);
        fixture.output.take(E2);

        fixture.end(task, COMPLETED);

        assertThat(fixture.output.take(E1, Finished.class).get(0).next(), is(Optional.empty()));
        Grant grant = fixture.output.take(E2, Grant.class).get(0);
        assertThat(grant.flow(), is(Optional.of(SETTLEMENT)));
        assertThat(grant.count(), is(1));
    }

    @Test
    void demandWithoutFreeSlotsRecallsIdleLeases() {
        fixture.announce("a", 4);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        fixture.link(E2);
        fixture.output.take(E1);

        fixture.advance(100);
        fixture.demand(E2, SETTLEMENT, 3);
        assertThat(fixture.output.take(E1), contains(new Recall(SERVICE, 3)));
        fixture.release(E1, leases.subList(0, 3));

        Grant grant = fixture.output.take(E2, Grant.class).get(0);
        assertThat(grant.flow(), is(Optional.of(SETTLEMENT)));
        assertThat(grant.count(), is(3));
        assertThat(grant.otherIdleSlots(), is(1));
    }

    @Test
    void agentHasNoPendingWorkWhileNothingRunsOrIsQueued() {
        fixture.announce("a", 1);
        fixture.link(E1, E2);
        assertThat(fixture.agent.hasNoPendingWork(), is(true));

        fixture.demand(E2, SETTLEMENT, 1);
        assertThat(fixture.agent.hasNoPendingWork(), is(false));
        fixture.demand(E2, SETTLEMENT, 0);
        assertThat(fixture.agent.hasNoPendingWork(), is(true));

        TaskId task = fixture.send(E1, fixture.leases(E1).get(0), BALANCE, 0);
        assertThat(fixture.agent.hasNoPendingWork(), is(false));
        fixture.end(task, COMPLETED);
        assertThat(fixture.agent.hasNoPendingWork(), is(true));
    }
}
