package org.knapweedmount.daemon.link;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Hello;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.daemon.runtime.Polling;
import org.knapweedmount.daemon.settings.HostPort;
import org.knapweedmount.wire.FrameException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

@Timeout(60)
class LinkTableTest {
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
    private final List<TestProcess> processes = new ArrayList<>();

    @AfterEach
    void close() {
        processes.forEach(TestProcess::close);
        vertx.close().await();
    }

    private TestProcess entry(String name) {
        return added(TestProcess.entry(vertx, name));
    }

    private TestProcess entry(String name, LinkOptions options) {
        return added(TestProcess.entry(vertx, name, 0, options));
    }

    private TestProcess agent(String name) {
        return added(TestProcess.agent(vertx, name));
    }

    private TestProcess added(TestProcess process) {
        processes.add(process);
        return process;
    }

    private static String linked(TestProcess process) {
        return "linked " + process.self.incarnation();
    }

    @Test
    void agentDialsEntryAndMessagesArriveInOrderBothWays() throws InterruptedException {
        TestProcess entry = entry("entry-1");
        TestProcess agent = agent("agent-1");

        agent.links.dial(entry.address());
        agent.awaitEvent(linked(entry));
        entry.awaitEvent(linked(agent));

        for (int i = 1; i <= 50; i++) {
            entry.send(agent.self, new ConfigApplied(i));
            agent.send(entry.self, new ConfigApplied(-1L + i));
        }
        for (int i = 1; i <= 50; i++) {
            assertThat(nextMessage(agent), is("entry-1 " + new ConfigApplied(i)));
            assertThat(nextMessage(entry), is("agent-1 " + new ConfigApplied(-1L + i)));
        }
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
        TestProcess lesser = entry("entry-1");
        TestProcess greater = entry("entry-2");

        greater.links.dial(lesser.address());
        lesser.links.dial(greater.address());
        lesser.awaitEvent(linked(greater));
        greater.awaitEvent(linked(lesser));

        assertThat(lesser.links.linkCount(), is(1L));
        assertThat(greater.links.linkCount(), is(1L));
    }

    @Test
    void lesserEntryDialsTheGreaterOneThatDialledIt() throws InterruptedException {
        TestProcess lesser = entry("entry-1");
        TestProcess greater = entry("entry-2");

        greater.links.dial(lesser.address());

        greater.awaitEvent(linked(lesser));
        lesser.awaitEvent(linked(greater));
    }

    @Test
    void greaterEntryDoesNotDialTheLesserOneThatItLearns() throws InterruptedException {
        TestProcess lesser = entry("entry-1");
        TestProcess greater = entry("entry-2");
        TestProcess last = entry("entry-3");

        greater.links.know(lesser.self);
        greater.links.know(last.self);
        greater.awaitEvent(linked(last));

        assertThat(lesser.links.counters().value(LinkCounter.RECEIVED_BYTES), is(0L));
        lesser.links.know(greater.self);
        lesser.awaitEvent(linked(greater));
    }

    @Test
    void entryDoesNotLinkToItself() throws InterruptedException {
        TestProcess entry = entry("entry-1");
        TestProcess agent = agent("agent-1");

        entry.links.dial(entry.address());
        entry.links.dial(new HostPort("127.0.0.2", entry.self.port()));
        agent.links.dial(entry.address());
        entry.awaitEvent(linked(agent));

        assertThat(entry.links.linkCount(), is(1L));
    }

    @Test
    void agentLinksToTheNextIncarnationAtTheSameAddress() throws InterruptedException {
        TestProcess first = TestProcess.entry(vertx, "entry-1");
        TestProcess agent = agent("agent-1");
        agent.links.dial(first.address());
        agent.awaitEvent(linked(first));

        first.close();
        agent.awaitEvent("unlinked " + first.self.incarnation());
        TestProcess second = added(TestProcess.entry(
                vertx, "entry-1", first.self.port(), LinkOptions.entry(TestProcess.HEARTBEAT_MILLIS, 1)));

        agent.awaitEvent(linked(second));
    }

    @Test
    void heartbeatsKeepAnIdleLinkAndTellTheConfigNumber() throws InterruptedException {
        TestProcess entry = entry("entry-1");
        TestProcess agent = agent("agent-1");
        agent.links.dial(entry.address());

        for (int i = 0; i < 15; i++) {
            entry.awaitEvent("heartbeat 17");
        }

        assertThat(entry.links.counters().value(LinkCounter.UNLINKED), is(0L));
    }

    private TestProcess remote(Role role, String name) {
        return added(TestProcess.remote(vertx, role, name));
    }

    @Test
    void agentHasNoLinkToAnEntryOfAnotherRegion() {
        TestProcess entry = entry("entry-1");
        TestProcess agent = remote(Role.AGENT, "agent-1");

        agent.links.know(entry.self);
        agent.links.dial(entry.address());

        agent.awaitCounter(LinkCounter.CLOSED_HELLO);
        assertThat(agent.links.counters().value(LinkCounter.LINKED), is(0L));
    }

    @ParameterizedTest
    @ValueSource(strings = {"entry-1", "entry-3"})
    void linkToAnotherRegionIsOpenedOnDemandFromEitherSideAndClosedWhenIdle(String name) throws InterruptedException {
        TestProcess entry = entry("entry-2", new LinkOptions(100, 10, 1_000_000, 100_000, 1024, 400, 1));
        TestProcess remote = remote(Role.ENTRY, name);
        entry.links.know(remote.self);
        remote.links.know(entry.self);

        entry.links.reach(remote.self);
        entry.awaitEvent(linked(remote));
        remote.awaitEvent(linked(entry));
        entry.awaitEvent("unlinked " + remote.self.incarnation());

        assertThat(entry.links.counters().value(LinkCounter.CLOSED_IDLE), is(1L));
        entry.links.reach(remote.self);
        entry.awaitEvent(linked(remote));
    }

    @Test
    void silentLinkIsClosed() throws Exception {
        TestProcess entry = entry("entry-1");
        try (RawPeer peer = new RawPeer(entry)) {
            peer.send(RawPeer.agentHello("agent-1"));
            peer.awaitClose();
        }

        entry.awaitEvent("unlinked agent-1~0000000000000001");
        assertThat(entry.links.counters().value(LinkCounter.CLOSED_SILENT), is(1L));
    }

    private static List<Message> badHellos() {
        return List.of(
                RawPeer.hello("agent-1", Role.AGENT, Hello.PROTOCOL_VERSION + 1),
                RawPeer.hello("entry-2", Role.ENTRY, Hello.PROTOCOL_VERSION),
                new Heartbeat(1));
    }

    @ParameterizedTest
    @MethodSource("badHellos")
    void connectionWithABadHelloIsClosed(Message first) throws IOException, FrameException {
        TestProcess entry = entry("entry-1");
        try (RawPeer peer = new RawPeer(entry)) {
            peer.send(first).awaitClose();
        }

        assertThat(entry.links.counters().value(LinkCounter.CLOSED_HELLO), is(1L));
        assertThat(entry.links.counters().value(LinkCounter.LINKED), is(0L));
    }

    @Test
    void secondLinkOfAnIncarnationIsClosedAndTheFirstOneStays() throws Exception {
        TestProcess entry = entry("entry-1", LinkOptions.entry(5_000, 1));
        try (RawPeer first = new RawPeer(entry);
                RawPeer second = new RawPeer(entry)) {
            first.send(RawPeer.agentHello("agent-1"));
            entry.awaitEvent("linked agent-1~0000000000000001");
            second.send(RawPeer.agentHello("agent-1")).awaitClose();

            first.send(new Leaving("update"));
            entry.awaitEvent("agent-1 " + new Leaving("update"));
        }
    }

    @Test
    void badFrameClosesItsLinkAlone() throws Exception {
        TestProcess entry = entry("entry-1");
        TestProcess agent = agent("agent-1");
        agent.links.dial(entry.address());
        entry.awaitEvent(linked(agent));

        try (RawPeer peer = new RawPeer(entry)) {
            peer.send(RawPeer.agentHello("agent-2"));
            peer.send(new byte[] {0, 0, 0, 2, (byte) 0x91, 99}).awaitClose();
        }
        entry.awaitEvent("unlinked agent-2~0000000000000001");

        agent.send(entry.self, new Leaving("update"));
        entry.awaitEvent("agent-1 " + new Leaving("update"));
        assertThat(entry.links.counters().value(LinkCounter.CLOSED_BAD_FRAME), is(1L));
        assertThat(entry.links.linkCount(), is(1L));
    }

    @Test
    void fullRingClosesTheLinkAndTheLossIsToldOnceThereIsRoom() throws Exception {
        TestProcess entry = entry("entry-1", LinkOptions.entry(5_000, 1));
        CountDownLatch release = new CountDownLatch(1);
        try (RawPeer peer = new RawPeer(entry)) {
            peer.send(RawPeer.agentHello("agent-1"));
            entry.awaitEvent("linked agent-1~0000000000000001");
            entry.block(release, () -> {});
            for (int i = 0; i < 2 * TestProcess.RING_SIZE; i++) {
                peer.send(new Heartbeat(i));
            }
            entry.awaitCounter(LinkCounter.CLOSED_RING_FULL);
        }

        release.countDown();
        entry.awaitEvent("unlinked agent-1~0000000000000001");
    }

    @Test
    void linkWhoseOtherEndDoesNotReadIsClosed() throws Exception {
        TestProcess entry = entry("entry-1", new LinkOptions(5_000, 10, 1_000_000, 100_000, 1024, 60_000, 1));
        Message large = new Leaving("x".repeat(10_000));
        PeerAddress deaf = RawPeer.agentHello("agent-1").sender();
        try (RawPeer peer = new RawPeer(entry)) {
            peer.send(RawPeer.agentHello("agent-1"));
            entry.awaitEvent("linked " + deaf.incarnation());

            Polling.until(() -> {
                entry.send(deaf, large);
                return entry.links.counters().value(LinkCounter.CLOSED_OVERFLOW) > 0;
            });
        }
        entry.awaitEvent("unlinked " + deaf.incarnation());
    }

    @Test
    void fullOutboxClosesTheLinkInsteadOfLeavingAMessageOut() throws Exception {
        int ringSize = 4;
        TestProcess entry = entry("entry-1", new LinkOptions(20, 10, 1_000_000, 100_000, ringSize, 60_000, 1));
        TestProcess agent = agent("agent-1");
        agent.links.dial(entry.address());
        entry.awaitEvent(linked(agent));

        entry.loop.offer((core, nowNanos) -> {
            while (entry.links.counters().value(LinkCounter.UNLINKED_SENDS) == 0) {
                entry.links.send(agent.self.incarnation(), new Leaving("update"));
            }
        });

        entry.awaitEvent("unlinked " + agent.self.incarnation());
        assertThat(entry.links.counters().value(LinkCounter.CLOSED_OVERFLOW), is(1L));
    }

    @Test
    void connectionsOverTheLimitAreClosed() throws Exception {
        TestProcess entry = entry("entry-1", new LinkOptions(5_000, 1, 1_000_000, 100_000, 16, 60_000, 1));
        try (RawPeer first = new RawPeer(entry)) {
            first.send(RawPeer.agentHello("agent-1"));
            entry.awaitEvent("linked agent-1~0000000000000001");
            try (RawPeer second = new RawPeer(entry)) {
                second.awaitClose();
            }
        }
        assertThat(entry.links.counters().value(LinkCounter.CLOSED_EXCESS), is(1L));
    }

    @Test
    void messageToAProcessWithoutALinkIsDroppedAndCounted() {
        TestProcess entry = entry("entry-1");

        entry.send(RawPeer.agentHello("agent-1").sender(), new Leaving("update"));

        entry.awaitCounter(LinkCounter.UNLINKED_SENDS);
    }

    @Test
    void messageOverTheLimitsIsDroppedAndTheLinkStays() throws InterruptedException {
        TestProcess entry = entry("entry-1");
        TestProcess agent = agent("agent-1");
        agent.links.dial(entry.address());
        entry.awaitEvent(linked(agent));

        entry.send(agent.self, new Leaving("x".repeat(100_000)));
        entry.send(agent.self, new Leaving("update"));

        agent.awaitEvent("entry-1 " + new Leaving("update"));
        assertThat(entry.links.counters().value(LinkCounter.OVERSIZED_SENDS), is(1L));
    }

    @Test
    void addressWhereNobodyListensIsTriedAgain() throws InterruptedException {
        TestProcess unused = TestProcess.entry(vertx, "entry-9");
        unused.close();
        TestProcess agent = agent("agent-1");

        agent.links.know(unused.self);
        agent.awaitCounter(LinkCounter.DIAL_FAILURES);
        TestProcess entry = added(TestProcess.entry(
                vertx, "entry-1", unused.self.port(), LinkOptions.entry(TestProcess.HEARTBEAT_MILLIS, 1)));

        agent.awaitEvent(linked(entry));
        assertThat(agent.links.counters().value(LinkCounter.DIAL_FAILURES), is(greaterThan(0L)));
    }

    @Test
    void messageSentForALostLinkNeverGoesOutOnTheNextOne() throws Exception {
        TestProcess entry = entry("entry-1", LinkOptions.entry(5_000, 1));
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
