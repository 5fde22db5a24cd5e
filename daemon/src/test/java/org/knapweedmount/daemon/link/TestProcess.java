package org.knapweedmount.daemon.link;

import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;

import io.vertx.core.Vertx;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.daemon.runtime.DecisionLoop;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.Polling;
import org.knapweedmount.daemon.settings.HostPort;

/** A process with links that records the link events of its decision thread. */
final class TestProcess implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    static final int HEARTBEAT_MILLIS = 5_000;
    static final int RING_SIZE = 512;

    final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    final DecisionLoop<BlockingQueue<String>> loop;
    final LinkTable<BlockingQueue<String>> links;
    final PeerAddress self;

    static TestProcess entry(Vertx vertx, String name, int port, LinkOptions options) {
        return new TestProcess(vertx, Role.ENTRY, PeerAddress.DEFAULT_REGION, name, port, options, NanoClock.SYSTEM);
    }

    static TestProcess entry(Vertx vertx, String name) {
        return entry(vertx, name, 0, LinkOptions.entry(HEARTBEAT_MILLIS, 1));
    }

    /** Starts an entry whose links use the clock of the test. */
    static TestProcess entry(Vertx vertx, String name, LinkOptions options, NanoClock clock) {
        return new TestProcess(vertx, Role.ENTRY, PeerAddress.DEFAULT_REGION, name, 0, options, clock);
    }

    static TestProcess agent(Vertx vertx, String name) {
        return agent(vertx, name, LinkOptions.agent(HEARTBEAT_MILLIS, 1), NanoClock.SYSTEM);
    }

    /** Starts an agent whose links use the clock of the test. */
    static TestProcess agent(Vertx vertx, String name, LinkOptions options, NanoClock clock) {
        return new TestProcess(vertx, Role.AGENT, PeerAddress.DEFAULT_REGION, name, 0, options, clock);
    }

    /** Creates a process in another region. */
    static TestProcess remote(Vertx vertx, Role role, String name) {
        LinkOptions options = LinkOptions.entry(HEARTBEAT_MILLIS, 1);
        return new TestProcess(vertx, role, "elsewhere", name, 0, options, NanoClock.SYSTEM);
    }

    private TestProcess(
            Vertx vertx, Role role, String region, String name, int port, LinkOptions options, NanoClock clock) {
        Incarnation incarnation = new Incarnation(name, System.nanoTime());
        PeerAddress identity = new PeerAddress(incarnation, role, region, "rennes", HOST, 0);
        this.loop = new DecisionLoop<>(name, RING_SIZE, NanoClock.SYSTEM);
        this.links = new LinkTable<>(vertx, options, identity, () -> 17, clock, peerRole -> loop, new EventRecorder());
        this.self = role == Role.ENTRY
                ? links.listen(HOST, port, OptionalInt.empty()).await()
                : identity;
        loop.start(events);
    }

    HostPort address() {
        return new HostPort(HOST, self.port());
    }

    /** Returns the event that a peer records when it is linked to this process. */
    String linkedEvent() {
        return "linked " + self.incarnation();
    }

    void send(PeerAddress peer, Message message) {
        loop.offer((core, nowNanos) -> links.send(peer.incarnation(), message));
    }

    /** Waits for an event, skipping others. */
    void awaitEvent(String event) throws InterruptedException {
        String next = events.take();
        while (!next.equals(event)) {
            next = events.take();
        }
    }

    /** Waits until a counter is not 0. */
    void awaitCounter(LinkCounter counter) {
        Polling.until(() -> links.counters().value(counter) > 0);
    }

    /** Blocks the decision thread until the latch is released, then runs an action on it. */
    void block(CountDownLatch latch, Runnable last) {
        CountDownLatch blocked = new CountDownLatch(1);
        loop.offer((core, nowNanos) -> {
            blocked.countDown();
            awaitUninterruptibly(latch);
            last.run();
        });
        awaitUninterruptibly(blocked);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public void close() {
        links.close().await();
        loop.close();
    }

    private static final class EventRecorder implements LinkHandler<BlockingQueue<String>> {
        @Override
        public void linked(BlockingQueue<String> core, PeerAddress peer, long nowNanos) {
            core.add("linked " + peer.incarnation());
        }

        @Override
        public void unlinked(BlockingQueue<String> core, Incarnation peer, long nowNanos) {
            core.add("unlinked " + peer);
        }

        @Override
        public void received(BlockingQueue<String> core, Incarnation from, Message message, long nowNanos) {
            if (message instanceof Heartbeat heartbeat) {
                core.add("heartbeat " + heartbeat.configNumber());
            } else {
                core.add(from.process() + " " + message);
            }
        }
    }
}
