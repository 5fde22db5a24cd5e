package org.knapweedmount.daemon.agent;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import io.vertx.core.Vertx;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.daemon.link.LinkHandler;
import org.knapweedmount.daemon.link.LinkOptions;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.runtime.DecisionLoop;
import org.knapweedmount.daemon.runtime.NanoClock;

/** An entry that records the messages of agents and makes no decisions. */
final class FakeEntry implements AutoCloseable {
    static final int HEARTBEAT_MILLIS = 2_000;

    final PeerAddress self;
    private final DecisionLoop<FakeEntry> loop = new DecisionLoop<>("fake-entry", 1024, NanoClock.SYSTEM);
    private final LinkTable<FakeEntry> links;
    private final BlockingQueue<PeerAddress> linked = new LinkedBlockingQueue<>();
    private final BlockingQueue<Incarnation> unlinked = new LinkedBlockingQueue<>();
    private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();

    FakeEntry(Vertx vertx, String name) {
        PeerAddress identity = new PeerAddress(new Incarnation(name, 1), Role.ENTRY, "rennes", "127.0.0.1", 0);
        LinkOptions options = LinkOptions.entry(HEARTBEAT_MILLIS, 1);
        this.links = new LinkTable<>(
                vertx, options, identity, () -> 0, NanoClock.SYSTEM, role -> loop, new RecordingHandler());
        this.self = links.listen(identity.host(), 0, OptionalInt.empty()).await();
        loop.start(this);
    }

    PeerAddress awaitLink() throws InterruptedException {
        return linked.take();
    }

    Incarnation awaitUnlinked() throws InterruptedException {
        return unlinked.take();
    }

    void send(PeerAddress agent, Message message) {
        loop.offer((entry, nowNanos) -> links.send(agent.incarnation(), message));
    }

    /** Waits for a message of the given type; discards all other messages. */
    <M extends Message> M await(Class<M> type) throws InterruptedException {
        Optional<M> found = Optional.empty();
        while (found.isEmpty()) {
            found = Optional.of(received.take()).filter(type::isInstance).map(type::cast);
        }
        return found.get();
    }

    @Override
    public void close() {
        links.close().await();
        loop.close();
    }

    private static final class RecordingHandler implements LinkHandler<FakeEntry> {
        @Override
        public void linked(FakeEntry entry, PeerAddress peer, long nowNanos) {
            entry.linked.add(peer);
        }

        @Override
        public void unlinked(FakeEntry entry, Incarnation peer, long nowNanos) {
            entry.unlinked.add(peer);
        }

        @Override
        public void received(FakeEntry entry, Incarnation from, Message message, long nowNanos) {
            entry.received.add(message);
        }
    }
}
