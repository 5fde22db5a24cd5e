package org.knapweedmount.daemon.link;

import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.daemon.runtime.Polling;
import org.knapweedmount.daemon.runtime.RefusingPort;
import org.knapweedmount.daemon.settings.HostPort;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

@Timeout(60)
class LinkTableTest {
    private final TestProcesses processes = new TestProcesses();

    @AfterEach
    void close() {
        processes.close();
    }

    @Test
    void agentDialsEntryAndMessagesArriveInOrderBothWays() throws InterruptedException {
        TestProcess entry = processes.entry("entry-1");
        TestProcess agent = processes.agent("agent-1");

        agent.links.dial(entry.address());
        agent.awaitEvent(entry.linkedEvent());
        entry.awaitEvent(agent.linkedEvent());

        for (int i = 1; i <= 50; i++) {
            entry.send(agent.self, new ConfigApplied(i));
            agent.send(entry.self, new ConfigApplied(-1L + i));
        }
        for (int i = 1; i <= 50; i++) {
            assertThat(nextMessage(agent), is("entry-1 " + new ConfigApplied(i)));
            assertThat(nextMessage(entry), is("agent-1 " + new ConfigApplied(-1L + i)));
        }
        assertThat(agent.links.receivedMessages().byType().get("ConfigApplied"), is(50L));
        assertThat(agent.links.sentMessages().byType().get("ConfigApplied"), is(50L));
    }

    private static String nextMessage(TestProcess process) throws InterruptedException {
        String event = process.events.take();
        while (event.startsWith("heartbeat")) {
            event = process.events.take();
        }
        return event;
    }

    @Test
    void entriesThatDialEachOtherShareOneLinkOpenedByTheLesserName() throws InterruptedException {
        TestProcess lesser = processes.entry("entry-1");
        TestProcess greater = processes.entry("entry-2");

        greater.links.dial(lesser.address());
        lesser.links.dial(greater.address());
        lesser.awaitEvent(greater.linkedEvent());
        greater.awaitEvent(lesser.linkedEvent());

        assertThat(lesser.links.linkCount(), is(1L));
        assertThat(greater.links.linkCount(), is(1L));
    }

    @Test
    void lesserEntryDialsTheGreaterOneThatDialledIt() throws InterruptedException {
        TestProcess lesser = processes.entry("entry-1");
        TestProcess greater = processes.entry("entry-2");

        greater.links.dial(lesser.address());

        greater.awaitEvent(lesser.linkedEvent());
        lesser.awaitEvent(greater.linkedEvent());
    }

    @Test
    void greaterEntryDoesNotDialALesserKnownEntry() throws InterruptedException {
        TestProcess lesser = processes.entry("entry-1");
        TestProcess greater = processes.entry("entry-2");
        TestProcess last = processes.entry("entry-3");

        greater.links.addKnownEntry(lesser.self);
        greater.links.addKnownEntry(last.self);
        greater.awaitEvent(last.linkedEvent());

        assertThat(lesser.links.counters().value(LinkCounter.RECEIVED_BYTES), is(0L));
        lesser.links.addKnownEntry(greater.self);
        lesser.awaitEvent(greater.linkedEvent());
    }

    @Test
    void entryDoesNotLinkToItself() throws InterruptedException {
        TestProcess entry = processes.entry("entry-1");
        TestProcess agent = processes.agent("agent-1");

        entry.links.dial(entry.address());
        entry.links.dial(new HostPort("127.0.0.2", entry.self.port()));
        agent.links.dial(entry.address());
        entry.awaitEvent(agent.linkedEvent());

        assertThat(entry.links.linkCount(), is(1L));
    }

    @Test
    void agentLinksToTheNextIncarnationAtTheSameAddress() throws Exception {
        try (RefusingPort refusingPort = new RefusingPort()) {
            TestProcess first = entryAt(refusingPort.port());
            TestProcess agent = processes.agent("agent-1");
            agent.links.dial(first.address());
            agent.awaitEvent(first.linkedEvent());

            first.close();
            agent.awaitEvent("unlinked " + first.self.incarnation());
            TestProcess second = processes.register(entryAt(refusingPort.port()));

            agent.awaitEvent(second.linkedEvent());
        }
    }

    private TestProcess entryAt(int port) {
        return TestProcess.entry(
                processes.vertx(), "entry-1", port, LinkOptions.entry(TestProcess.HEARTBEAT_MILLIS, 1));
    }

    private TestProcess remote(Role role, String name) {
        return processes.register(TestProcess.remote(processes.vertx(), role, name));
    }

    @Test
    void agentHasNoLinkToAnEntryOfAnotherRegion() {
        TestProcess entry = processes.entry("entry-1");
        TestProcess agent = remote(Role.AGENT, "agent-1");

        agent.links.addKnownEntry(entry.self);
        agent.links.dial(entry.address());

        agent.awaitCounter(LinkCounter.CLOSED_HELLO);
        assertThat(agent.links.counters().value(LinkCounter.LINKED), is(0L));
    }

    @ParameterizedTest
    @ValueSource(strings = {"entry-1", "entry-3"})
    void linkToAnotherRegionIsOpenedOnDemandFromEitherSideAndClosedWhenIdle(String name) throws InterruptedException {
        TestProcess entry =
                processes.entry("entry-2", new LinkOptions(100, 1_000, 10, 1_000_000, 100_000, 1024, 400, 1));
        TestProcess remote = remote(Role.ENTRY, name);
        entry.links.addKnownEntry(remote.self);
        remote.links.addKnownEntry(entry.self);

        entry.links.connectOnDemand(remote.self);
        entry.awaitEvent(remote.linkedEvent());
        remote.awaitEvent(entry.linkedEvent());
        entry.awaitEvent("unlinked " + remote.self.incarnation());

        assertThat(entry.links.counters().value(LinkCounter.CLOSED_IDLE), is(1L));
        entry.links.connectOnDemand(remote.self);
        entry.awaitEvent(remote.linkedEvent());
    }

    @Test
    void messageToAProcessWithoutALinkIsDroppedAndCounted() {
        TestProcess entry = processes.entry("entry-1");

        entry.send(RawPeer.agentHello("agent-1").sender(), new Leaving("update"));

        entry.awaitCounter(LinkCounter.UNLINKED_SENDS);
    }

    @Test
    void messageOverTheLimitsIsDroppedAndTheLinkStays() throws InterruptedException {
        TestProcess entry = processes.entry("entry-1");
        TestProcess agent = processes.agentLinkedTo(entry);

        entry.send(agent.self, new Leaving("x".repeat(100_000)));
        entry.send(agent.self, new Leaving("update"));

        agent.awaitEvent("entry-1 " + new Leaving("update"));
        assertThat(entry.links.counters().value(LinkCounter.OVERSIZED_SENDS), is(1L));
    }

    @Test
    void addressWhereNobodyListensIsTriedAgain() throws Exception {
        try (RefusingPort refusingPort = new RefusingPort()) {
            Incarnation gone = new Incarnation("entry-9", 1);
            TestProcess agent = processes.agent("agent-1");

            agent.links.addKnownEntry(
                    new PeerAddress(gone, Role.ENTRY, "rennes", TestProcess.HOST, refusingPort.port()));
            agent.awaitCounter(LinkCounter.DIAL_FAILURES);
            TestProcess entry = processes.register(entryAt(refusingPort.port()));

            agent.awaitEvent(entry.linkedEvent());
        }
    }

    @Test
    void messageSentForALostLinkNeverGoesOutOnTheNextOne() throws Exception {
        TestProcess entry = processes.entry("entry-1", LinkOptions.entry(5_000, 1));
        Incarnation agent = RawPeer.agentHello("agent-1").sender().incarnation();
        RawPeer first = new RawPeer(entry);
        first.send(RawPeer.agentHello("agent-1"));
        entry.awaitEvent("linked " + agent);
        CountDownLatch release = new CountDownLatch(1);
        entry.block(release, () -> entry.links.send(agent, new Leaving("update")));
        first.close();
        entry.awaitCounter(LinkCounter.UNLINKED);
        try (RawPeer second = new RawPeer(entry)) {
            second.send(RawPeer.agentHello("agent-1"));
            Polling.until(() -> entry.links.counters().value(LinkCounter.LINKED) >= 2);
            long sent = entry.links.counters().value(LinkCounter.SENT_MESSAGES);
            release.countDown();

            entry.awaitCounter(LinkCounter.UNLINKED_SENDS);
            assertThat(entry.links.counters().value(LinkCounter.SENT_MESSAGES), is(sent));
        }
    }
}
