package org.knapweedmount.daemon.link;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.settings.HostPort;

/**
 * The links of a process to other processes, at most one per incarnation.
 *
 * <p>Connections are confined to one event loop. Received messages are queued for the decision thread; if its ring
 * buffer is full, the link is closed. A message of the decision thread is sent only on the link that was active at the
 * time of the call, never on a later link to the same process, so that messages for a lost link are lost with it.
 *
 * <p>Agents open the links to entries. Of two entries the one with the lesser incarnation opens the link.
 *
 * @param <T> the decision module
 */
public final class LinkTable<T> {
    private final Context context;
    private final EventQueues<T> queues;
    private final LinkHandler<T> handler;
    private final Counters<LinkCounter> counters = new Counters<>(LinkCounter.class);
    private final ConnectionManager connectionManager;
    private final Outbox outbox;
    private final Map<Incarnation, ActiveLink> activeLinks = new HashMap<>();

    /** A link that has been reported to the decision thread. */
    private record ActiveLink(Link link, PeerAddress peer) {}

    /**
     * Creates a table without links.
     *
     * @param vertx provides the event loop
     * @param options the limits of the links
     * @param self this process, with port 0 as it does not listen yet
     * @param configNumber the highest ticket number in force, put into heartbeats; read on the event loop
     * @param clock the clock of heartbeats and timeouts
     * @param queues the queues of the decision thread
     * @param handler handles link events on the decision thread
     */
    public LinkTable(
            Vertx vertx,
            LinkOptions options,
            PeerAddress self,
            LongSupplier configNumber,
            NanoClock clock,
            EventQueues<T> queues,
            LinkHandler<T> handler) {
        this.context = vertx.getOrCreateContext();
        this.queues = queues;
        this.handler = handler;
        this.connectionManager =
                new ConnectionManager(vertx, options, self, configNumber, clock, counters, new DecisionForwarder());
        this.outbox = new Outbox(context, options.outboxRingSize(), connectionManager);
        context.runOnContext(ignored -> connectionManager.start());
    }

    /**
     * Starts to accept links of other processes.
     *
     * @param host the IP address to listen on, which is also advertised
     * @param port the TCP port to listen on, 0 for any free one
     * @param advertisedPort the advertised port, empty if it is the port listened on
     * @return this process with its advertised address; fails if the port is in use
     */
    public Future<PeerAddress> listen(String host, int port, OptionalInt advertisedPort) {
        return onContext(() -> connectionManager.listen(host, port, advertisedPort));
    }

    /**
     * Keeps a link to the entry that listens at an address, reconnecting as often as needed.
     *
     * @param address an address from the settings
     */
    public void dial(HostPort address) {
        context.runOnContext(ignored -> connectionManager.dial(address));
    }

    /**
     * Adds a known entry and keeps a link to it, unless the entry is the one to open the link or is in another region.
     * An entry that stays unreachable is dropped after some minutes.
     *
     * @param peer the entry, from a table row or reported by another process
     */
    public void addKnownEntry(PeerAddress peer) {
        context.runOnContext(ignored -> connectionManager.addKnownEntry(peer));
    }

    /**
     * Opens a link to an entry of another region on demand; it is closed after the idle timeout.
     *
     * @param peer the entry
     */
    public void connectOnDemand(PeerAddress peer) {
        context.runOnContext(ignored -> connectionManager.connectOnDemand(peer));
    }

    /**
     * Sends a message to a process; the message is dropped and counted if there is no link.
     *
     * <p>Called on the decision thread only.
     *
     * @param peer the receiver
     * @param message the message
     */
    public void send(Incarnation peer, Message message) {
        ActiveLink receiver = activeLinks.get(peer);
        if (receiver == null || receiver.link.hasLostMessage()) {
            counters.increment(LinkCounter.UNLINKED_SENDS);
            return;
        }
        if (!outbox.offer(receiver.link, message)) {
            receiver.link.markMessageLost();
        }
    }

    /**
     * Lists the linked processes.
     *
     * <p>Called on the decision thread only.
     *
     * @return the processes, in no particular order
     */
    public List<PeerAddress> peers() {
        return activeLinks.values().stream().map(ActiveLink::peer).toList();
    }

    /**
     * Returns the counters of the links.
     *
     * @return the counters
     */
    public Counters<LinkCounter> counters() {
        return counters;
    }

    /**
     * Counts the messages that were sent.
     *
     * @return the numbers by type
     */
    public MessageCounts sentMessages() {
        return connectionManager.sentMessages();
    }

    /**
     * Counts the messages that were received.
     *
     * @return the numbers by type
     */
    public MessageCounts receivedMessages() {
        return connectionManager.receivedMessages();
    }

    /**
     * Counts the established links.
     *
     * @return the number of links that have passed the hello check
     */
    public long linkCount() {
        return counters.value(LinkCounter.LINKED) - counters.value(LinkCounter.UNLINKED);
    }

    /**
     * Counts the messages that wait in the outbox for the event loop.
     *
     * @return the number of messages that the decision thread has sent and the event loop has not written yet
     */
    public long outboxDepth() {
        return outbox.depth();
    }

    /**
     * Sends the messages in the outbox and closes all links.
     *
     * @return completes when this process no longer listens
     */
    public Future<Void> close() {
        return onContext(() -> {
            outbox.drain();
            return connectionManager.close();
        });
    }

    private <R> Future<R> onContext(Supplier<Future<R>> action) {
        Promise<R> done = Promise.promise();
        context.runOnContext(ignored -> action.get().onComplete(done));
        return done.future();
    }

    private final class DecisionForwarder implements ConnectionManager.Listener {
        @Override
        public boolean linked(Link link, PeerAddress peer) {
            return queues.ofLink(peer.role()).offer((core, nowNanos) -> {
                activeLinks.put(peer.incarnation(), new ActiveLink(link, peer));
                handler.linked(core, peer, nowNanos);
            });
        }

        @Override
        public boolean unlinked(PeerAddress peer) {
            return queues.ofLink(peer.role()).offer((core, nowNanos) -> {
                activeLinks.remove(peer.incarnation());
                handler.unlinked(core, peer.incarnation(), nowNanos);
            });
        }

        @Override
        public boolean received(PeerAddress from, Message message) {
            return queues.ofMessage(from.role(), message)
                    .offer((core, nowNanos) -> handler.received(core, from.incarnation(), message, nowNanos));
        }
    }
}
