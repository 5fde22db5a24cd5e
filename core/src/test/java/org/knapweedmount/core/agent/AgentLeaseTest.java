package org.knapweedmount.core.agent;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Recall;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasKey;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.agent.AgentFixture.BALANCE;
import static org.knapweedmount.core.agent.AgentFixture.COMPLETED;
import static org.knapweedmount.core.agent.AgentFixture.E1;
import static org.knapweedmount.core.agent.AgentFixture.E2;
import static org.knapweedmount.core.agent.AgentFixture.FAILED;
import static org.knapweedmount.core.agent.AgentFixture.SERVICE;
import static org.knapweedmount.core.agent.AgentFixture.SETTLEMENT;
import static org.knapweedmount.core.agent.AgentFixture.UNREACHABLE;

class AgentLeaseTest {
    private static final int TIMEOUT_MILLIS = AgentLimits.DEFAULT.linkTimeoutMillis();
    private static final DrainConfig DRAIN = new DrainConfig("data-centre:rennes");

    private final AgentFixture fixture = new AgentFixture();

    @Test
    void unlinkedEntryLosesItsIdleLeases() {
        fixture.link(E1, E2);
        fixture.announce("a", 4);
        fixture.leases(E2);
        long lease = fixture.leases(E1).get(0);

        fixture.agent.unlinked(E1, fixture.now);
        fixture.link(E1);

        assertThat(fixture.leases(E2), hasSize(2));
        TaskId task = fixture.send(E1, lease, BALANCE, 0);
        assertThat(
                fixture.output.take(E1, NotStarted.class),
                contains(new NotStarted(task, fixture.sequence(E1), Reason.LEASE_LAPSED)));
    }

    @Test
    void unresponsiveEntryLosesItsIdleLeasesAndGetsOthersWhenItResponds() {
        fixture.link(E1, E2);
        fixture.announce("a", 4);
        List<Long> revoked = fixture.leases(E1);
        fixture.advance(TIMEOUT_MILLIS - 1);
        fixture.receive(E2, new Heartbeat(0));
        fixture.output.take(E2);

        fixture.advance(1);
        assertThat(fixture.leases(E2), hasSize(2));
        TaskId task = fixture.send(E1, revoked.get(0), BALANCE, 1);

        List<Message> messages = fixture.output.take(E1);
        assertThat(messages.get(0), is(new Recall(SERVICE, 2)));
        assertThat(messages.get(1), is(new NotStarted(task, fixture.sequence(E1), Reason.LEASE_LAPSED)));
        assertThat(fixture.output.takeStarted().keySet(), is(empty()));
    }

    @Test
    void entryLinkedLaterGetsAnEvenShare() {
        fixture.announce("a", 8);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);

        fixture.link(E2);
        assertThat(fixture.output.take(E1), contains(new Recall(SERVICE, 4)));
        fixture.release(E1, leases.subList(0, 4));

        assertThat(fixture.leases(E2), hasSize(4));
        assertThat(fixture.output.take(E1), is(empty()));
    }

    @Test
    void staleLeaseOfAFlowIsRecalled() {
        fixture.link(E1);
        fixture.announce("a", 2);
        fixture.release(E1, fixture.leases(E1));
        fixture.leases(E1);
        fixture.link(E2);
        fixture.demand(E2, SETTLEMENT, 1);
        fixture.release(E1, List.of(3L));
        fixture.output.take(E2);

        fixture.advance(1_000);

        assertThat(fixture.output.take(E2), contains(new Recall(SERVICE, 1)));
    }

    @Test
    void releaseOfALeaseShowsThatTheQueueIsEmpty() {
        fixture.announce("a", 1);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        fixture.demand(E1, SETTLEMENT, 1);
        fixture.release(E1, leases);
        Grant bound = fixture.grants(E1).get(0);
        assertThat(bound.flow(), is(Optional.of(SETTLEMENT)));

        fixture.release(E1, AgentFixture.numbers(bound));

        assertThat(fixture.grants(E1).get(0).flow(), is(Optional.empty()));
    }

    @Test
    void demandIsKeptWhileItsServiceHasNoEndpoints() {
        fixture.announce("a", 1);
        fixture.link(E1);
        fixture.demand(E1, SETTLEMENT, 1);
        fixture.agent.endpointLeft("a", fixture.now);
        fixture.output.take(E1);

        fixture.announce("a", 1);

        assertThat(fixture.grants(E1).get(0).flow(), is(Optional.of(SETTLEMENT)));
    }

    @Test
    void demandIsRemovedWithTheLink() {
        fixture.announce("a", 1);
        fixture.link(E1, E2);
        TaskId task = fixture.send(E1, fixture.leases(E1).get(0), BALANCE, 0);
        fixture.demand(E2, SETTLEMENT, 1);
        fixture.agent.unlinked(E2, fixture.now);
        fixture.link(E2);

        fixture.end(task, COMPLETED);

        assertThat(fixture.leases(E1), hasSize(1));
    }

    @Test
    void recallIsNotRepeatedDuringTheBackoffAfterAPartialRelease() {
        fixture.link(E1, E2);
        fixture.announce("a", 2);
        fixture.output.take(E1);
        fixture.demand(E2, SETTLEMENT, 5);
        fixture.release(E1, List.of());
        assertThat(fixture.output.take(E1, Recall.class), hasSize(1));

        fixture.advance(10);
        fixture.demand(E2, SETTLEMENT, 6);
        assertThat(fixture.output.take(E1), is(empty()));
        fixture.advance(50);
        fixture.demand(E2, SETTLEMENT, 7);
        assertThat(fixture.output.take(E1, Recall.class), hasSize(1));
    }

    @Test
    void leasesOfAnEndpointThatLeftAreRevokedAndItsTaskContinues() {
        fixture.announce("a", 2);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        TaskId running = fixture.send(E1, leases.get(0), BALANCE, 0);

        fixture.agent.endpointLeft("a", fixture.now);

        assertThat(fixture.output.take(E1), contains(new Capacity(SERVICE, 0, Resources.NONE)));
        TaskId task = fixture.send(E1, leases.get(1), BALANCE, 0);
        assertThat(fixture.output.take(E1), contains(new NotStarted(task, fixture.sequence(E1), Reason.LEASE_LAPSED)));
        fixture.end(running, COMPLETED);
        assertThat(fixture.output.take(E1, Finished.class), hasSize(1));
    }

    @Test
    void announcementThatIsNotRepeatedExpires() {
        EndpointAnnouncement endpoint =
                new EndpointAnnouncement("a", SERVICE, "127.0.0.1", 80, 2, 64, 1_000, Resources.NONE);
        fixture.link(E1);
        fixture.announce(endpoint);
        fixture.advance(900);
        fixture.announce(endpoint);
        fixture.receive(E1, new Heartbeat(0));
        fixture.output.take(E1);

        fixture.advance(999);
        assertThat(fixture.output.take(E1), is(empty()));
        fixture.advance(1);

        assertThat(fixture.output.take(E1), contains(new Capacity(SERVICE, 0, Resources.NONE)));
    }

    @Test
    void connectionsBoundTheSlots() {
        fixture.link(E1);

        fixture.announce(new EndpointAnnouncement("a", SERVICE, "127.0.0.1", 80, 8, 3, 1_000, Resources.NONE));

        assertThat(fixture.leases(E1), hasSize(3));
    }

    @Test
    void leastLoadedEndpointIsChosen() {
        fixture.announce("a", 2);
        fixture.announce("b", 4);
        fixture.link(E1);

        fixture.leases(E1).subList(0, 3).forEach(lease -> fixture.send(E1, lease, BALANCE, 0));

        assertThat(fixture.output.takeStarted().values(), containsInAnyOrder("a", "b", "b"));
    }

    @Test
    void endpointIsPausedAfterConsecutiveFailuresAndTriedWithOneTask() {
        TaskResult lost = TaskResult.of(Outcome.UNKNOWN, Reason.CONNECTION_LOST);
        List<TaskResult> failures = List.of(FAILED, UNREACHABLE, lost);
        fixture.announce("a", 8);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        for (int i = 0; i < AgentLimits.DEFAULT.setAsideFailures(); i++) {
            fixture.end(fixture.send(E1, leases.get(i), BALANCE, 0), failures.get(i % failures.size()));
        }
        assertThat(fixture.counters.value(AgentCounter.ENDPOINTS_SET_ASIDE), is(1L));
        fixture.output.take(E1);
        TaskId refused = fixture.send(E1, leases.get(7), BALANCE, 0);
        assertThat(
                fixture.output.take(E1), contains(new NotStarted(refused, fixture.sequence(E1), Reason.LEASE_LAPSED)));
        fixture.output.takeStarted();

        fixture.receive(E1, new Heartbeat(0));
        fixture.advance(TIMEOUT_MILLIS - 1);
        fixture.receive(E1, new Heartbeat(0));
        fixture.advance(AgentLimits.DEFAULT.setAsideMillis() - TIMEOUT_MILLIS + 1);
        List<Long> trial = fixture.leases(E1);
        assertThat(trial, hasSize(1));
        TaskId task = fixture.send(E1, trial.get(0), BALANCE, 0);
        assertThat(fixture.output.takeStarted(), hasKey(task));
        fixture.end(task, COMPLETED);

        assertThat(fixture.leases(E1), hasSize(8));
    }

    @Test
    void faultyRequestsDoNotPauseTheEndpoint() {
        fixture.announce("a", 8);
        fixture.link(E1);
        long lease = fixture.leases(E1).get(0);

        for (int i = 0; i < 4 * AgentLimits.DEFAULT.setAsideFailures(); i++) {
            fixture.end(fixture.send(E1, lease, BALANCE, 0), failed(404));
            lease = fixture.leases(E1).get(0);
        }

        assertThat(fixture.counters.value(AgentCounter.ENDPOINTS_SET_ASIDE), is(0L));
    }

    @Test
    void faultyRequestsDoNotMaskAFailingEndpoint() {
        fixture.announce("a", 16);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);

        for (int i = 0; i < 2 * AgentLimits.DEFAULT.setAsideFailures(); i++) {
            assertThat(fixture.counters.value(AgentCounter.ENDPOINTS_SET_ASIDE), is(0L));
            fixture.end(fixture.send(E1, leases.get(i), BALANCE, 0), failed(i % 2 == 0 ? 422 : 500));
        }

        assertThat(fixture.counters.value(AgentCounter.ENDPOINTS_SET_ASIDE), is(1L));
    }

    @Test
    void faultyRequestDoesNotEndTheTrialOfAnEndpoint() {
        fixture.announce("a", 8);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        for (int i = 0; i < AgentLimits.DEFAULT.setAsideFailures(); i++) {
            fixture.end(fixture.send(E1, leases.get(i), BALANCE, 0), failed(503));
        }
        fixture.output.take(E1);
        fixture.receive(E1, new Heartbeat(0));
        fixture.advance(TIMEOUT_MILLIS - 1);
        fixture.receive(E1, new Heartbeat(0));
        fixture.advance(AgentLimits.DEFAULT.setAsideMillis() - TIMEOUT_MILLIS + 1);

        fixture.end(fixture.send(E1, fixture.leases(E1).get(0), BALANCE, 0), failed(400));

        List<Long> trial = fixture.leases(E1);
        assertThat(trial, hasSize(1));
        fixture.end(fixture.send(E1, trial.get(0), BALANCE, 0), COMPLETED);
        assertThat(fixture.leases(E1), hasSize(8));
    }

    private static TaskResult failed(int status) {
        return new TaskResult(Outcome.FAILED, Reason.TASK_FAILED, status, "", Payload.EMPTY);
    }

    @Test
    void drainingAgentRefusesStartsAndFinishesRunningTasks() {
        fixture.announce("a", 4);
        fixture.link(E1);
        List<Long> leases = fixture.leases(E1);
        TaskId running = fixture.send(E1, leases.get(0), BALANCE, 0);

        fixture.agent.drain(fixture.now);
        fixture.link(E2);

        assertThat(fixture.output.take(E1), contains(instanceOf(Leaving.class)));
        assertThat(fixture.output.take(E2), contains(instanceOf(Leaving.class)));
        TaskId refused = fixture.send(E1, leases.get(1), BALANCE, 0);
        assertThat(fixture.output.take(E1), contains(new NotStarted(refused, fixture.sequence(E1), Reason.DRAINING)));
        assertThat(fixture.agent.idle(), is(false));
        fixture.end(running, COMPLETED);
        assertThat(fixture.output.take(E1, Finished.class).get(0).next().isPresent(), is(false));
        assertThat(fixture.agent.idle(), is(true));
    }

    @Test
    void drainByTicketEndsWithTheTicketThatRemovesIt() {
        fixture.announce("a", 4);
        fixture.link(E1);
        fixture.output.take(E1);

        fixture.configure(DRAIN);
        fixture.advance(100);
        assertThat(fixture.output.take(E1), contains(instanceOf(Leaving.class)));
        fixture.configure(new RemovedConfig(DRAIN.key()));

        assertThat(fixture.leases(E1), hasSize(4));
    }

    @Test
    void endOfADrainRestoresTheCapacity() {
        fixture.announce("a", 4);
        fixture.link(E1);
        fixture.configure(DRAIN);
        fixture.output.take(E1);

        fixture.configure(new RemovedConfig(DRAIN.key()));

        assertThat(fixture.output.take(E1, Capacity.class), contains(new Capacity(SERVICE, 4, Resources.NONE)));
    }
}
