package org.knapweedmount.daemon.link;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Hello;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.daemon.runtime.Polling;
import org.knapweedmount.wire.FrameException;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Tests under which conditions connections are closed. */
@Timeout(60)
class LinkClosingTest {
    private static final int HEARTBEAT_MILLIS = 20;
    private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS);
    private static final int RECEIVE_TIMEOUT_HEARTBEATS = 10;

    private final AtomicLong now = new AtomicLong();
    private final TestProcesses processes = new TestProcesses();

    @AfterEach
    void close() {
        processes.close();
    }

    @Test
    void heartbeatsKeepAnIdleLinkAndReportTheConfigNumber() throws InterruptedException {
        TestProcess entry = processes.register(
                TestProcess.entry(processes.vertx(), "entry-1", LinkOptions.entry(HEARTBEAT_MILLIS, 1), now::get));
        TestProcess agent = processes.register(
                TestProcess.agent(processes.vertx(), "agent-1", LinkOptions.agent(HEARTBEAT_MILLIS, 1), now::get));
        agent.links.dial(entry.address());
        agent.awaitEvent(entry.linkedEvent());
        entry.awaitEvent(agent.linkedEvent());

        for (int i = 0; i < 2 * RECEIVE_TIMEOUT_HEARTBEATS; i++) {
            now.addAndGet(HEARTBEAT_NANOS);
            entry.awaitEvent("heartbeat 17");
            agent.awaitEvent("heartbeat 17");
        }

        assertThat(entry.links.counters().value(LinkCounter.UNLINKED), is(0L));
        assertThat(agent.links.counters().value(LinkCounter.UNLINKED), is(0L));
    }

    @Test
    void silentLinkIsClosed() throws Exception {
        TestProcess entry = processes.register(
                TestProcess.entry(processes.vertx(), "entry-1", LinkOptions.entry(HEARTBEAT_MILLIS, 1), now::get));
        try (RawPeer peer = new RawPeer(entry)) {
            peer.send(RawPeer.agentHello("agent-1"));
            entry.awaitEvent("linked agent-1~0000000000000001");
            peer.awaitFrame();
            for (int i = 0; i < RECEIVE_TIMEOUT_HEARTBEATS; i++) {
                now.addAndGet(HEARTBEAT_NANOS);
                peer.awaitFrame();
            }
            assertThat(entry.links.counters().value(LinkCounter.CLOSED_SILENT), is(0L));
            now.addAndGet(HEARTBEAT_NANOS);
            peer.awaitClose();
        }

        entry.awaitEvent("unlinked agent-1~0000000000000001");
        assertThat(entry.links.counters().value(LinkCounter.CLOSED_SILENT), is(1L));
    }

    // Heartbeats each 150 ms, ten within the timeout of a link, were most of the messages that an idle entry sent.
    @Test
    void aSilentLinkIsClosedAfterTheSameTimeWithFewerHeartbeats() throws Exception {
        LinkOptions options = LinkOptions.entry(HEARTBEAT_MILLIS, 1).withReceiveTimeout(3 * HEARTBEAT_MILLIS);
        TestProcess entry = processes.register(TestProcess.entry(processes.vertx(), "entry-1", options, now::get));
        try (RawPeer peer = new RawPeer(entry)) {
            peer.send(RawPeer.agentHello("agent-1"));
            entry.awaitEvent("linked agent-1~0000000000000001");
            peer.awaitFrame();
            for (int i = 0; i < 3; i++) {
                now.addAndGet(HEARTBEAT_NANOS);
                peer.awaitFrame();
            }
            assertThat(entry.links.counters().value(LinkCounter.CLOSED_SILENT), is(0L));
            now.addAndGet(HEARTBEAT_NANOS);
            peer.awaitClose();
        }

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
        TestProcess entry = processes.entry("entry-1");
        try (RawPeer peer = new RawPeer(entry)) {
            peer.send(first).awaitClose();
        }

        assertThat(entry.links.counters().value(LinkCounter.CLOSED_HELLO), is(1L));
        assertThat(entry.links.counters().value(LinkCounter.LINKED), is(0L));
    }

    @Test
    void secondLinkOfAnIncarnationIsClosedAndTheFirstOneStays() throws Exception {
        TestProcess entry = processes.entry("entry-1", LinkOptions.entry(5_000, 1));
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
        TestProcess entry = processes.entry("entry-1");
        TestProcess agent = processes.agentLinkedTo(entry);

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
    void fullRingClosesTheLinkAndTheLossIsReportedOnceThereIsSpace() throws Exception {
        TestProcess entry = processes.entry("entry-1", LinkOptions.entry(5_000, 1));
        CountDownLatch release = new CountDownLatch(1);
        try (RawPeer peer = new RawPeer(entry)) {
            peer.send(RawPeer.agentHello("agent-1"));
            entry.awaitEvent("linked agent-1~0000000000000001");
            entry.block(release, () -> {});
            peer.sendWhileOpen(new Heartbeat(17), 2 * TestProcess.RING_SIZE);
            entry.awaitCounter(LinkCounter.CLOSED_RING_FULL);
        }

        release.countDown();
        entry.awaitEvent("unlinked agent-1~0000000000000001");
    }

    @Test
    void linkToAPeerThatDoesNotReadIsClosed() throws Exception {
        TestProcess entry =
                processes.entry("entry-1", new LinkOptions(5_000, 50_000, 10, 1_000_000, 100_000, 1024, 60_000, 1));
        Message large = new Leaving("x".repeat(10_000));
        PeerAddress notReading = RawPeer.agentHello("agent-1").sender();
        try (RawPeer peer = new RawPeer(entry)) {
            peer.send(RawPeer.agentHello("agent-1"));
            entry.awaitEvent("linked " + notReading.incarnation());

            Polling.until(() -> {
                entry.send(notReading, large);
                return entry.links.counters().value(LinkCounter.CLOSED_OVERFLOW) > 0;
            });
        }
        entry.awaitEvent("unlinked " + notReading.incarnation());
    }

    @Test
    void fullOutboxClosesTheLinkInsteadOfDroppingAMessage() throws Exception {
        int ringSize = 4;
        TestProcess entry =
                processes.entry("entry-1", new LinkOptions(20, 200, 10, 1_000_000, 100_000, ringSize, 60_000, 1));
        TestProcess agent = processes.agentLinkedTo(entry);

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
        TestProcess entry =
                processes.entry("entry-1", new LinkOptions(5_000, 50_000, 1, 1_000_000, 100_000, 16, 60_000, 1));
        try (RawPeer first = new RawPeer(entry)) {
            first.send(RawPeer.agentHello("agent-1"));
            entry.awaitEvent("linked agent-1~0000000000000001");
            try (RawPeer second = new RawPeer(entry)) {
                second.awaitClose();
            }
        }
        assertThat(entry.links.counters().value(LinkCounter.CLOSED_EXCESS), is(1L));
    }
}
