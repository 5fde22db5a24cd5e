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
import org.knapweedmount.daemon.runtime.DecisionQueue;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.settings.HostPort;

/**
 * The links of a process to others, at most one to each incarnation.
 *
 * <p>Connections live on one event loop. What arrives goes to the decision thread; if its ring is full, the link is
 * closed. What the decision thread sends goes out only on the link that it knew at that moment, never on a later link to
 * the same process, so that a message meant for a lost link is lost with it.
 *
 * <p>An entry accepts the links of agents. Of two entries the one with the lesser incarnation opens the link.
 *
 * @param <T> the decision module
 */
public final class LinkTable<T> {
    private final Context context;
    private final DecisionQueue<T> queue;
    private final LinkHandler<T> handler;
    private final Counters<LinkCounter> counters = new Counters<>(LinkCounter.class);
    private final Connections connections;
    private final Outbox outbox;
    private final Map<Incarnation, Admitted> admitted = new HashMap<>();

    /** A link that the decision thread knows. */
    private record Admitted(Link link, PeerAddress peer) {}

    /**
     * Creates a table without links.
     *
     * @param vertx provides the event loop
     * @param options what bounds the links
     * @param self this process, with port 0 until it listens
     * @param configNumber the highest ticket number in force, put into heartbeats; read on the event loop
     * @param clock the clock for heartbeats and silence
     * @param queue takes what happens to the decision thread
     * @param handler takes what happens on the decision thread
     */
    public LinkTable(
            Vertx vertx,
            LinkOptions options,
            PeerAddress self,
            LongSupplier configNumber,
            NanoClock clock,
            DecisionQueue<T> queue,
            LinkHandler<T> handler) {
        this.context = vertx.getOrCreateContext();
        this.queue = queue;
        this.handler = handler;
        this.connections = new Connections(vertx, options, self, configNumber, clock, counters, new ToDecisions());
        this.outbox = new Outbox(context, options.ringSize(), connections);
        context.runOnContext(ignored -> connections.start());
    }

    /**
     * Accepts links of other processes from now on.
     *
     * @param host the IP number to listen on, which others are told
     * @param port the TCP port to listen on, 0 for any free one
     * @param advertisedPort the port that others are told, empty for the one listened on
     * @return this process with the address that others are told; failed if the port is in use
     */
    public Future<PeerAddress> listen(String host, int port, OptionalInt advertisedPort) {
        return onContext(() -> connections.listen(host, port, advertisedPort));
    }

    /**
     * Keeps trying to have a link to whichever entry listens at an address.
     *
     * @param address the address, taken from the settings
     */
    public void dial(HostPort address) {
        context.runOnContext(ignored -> connections.dial(address));
    }

    /**
     * Takes note of an entry; keeps trying for some minutes to have a link to it, unless the entry is to open it or is in
     * another region.
     *
     * @param peer the entry as it was learnt from a table row or another process
     */
    public void addKnownEntry(PeerAddress peer) {
        context.runOnContext(ignored -> connections.know(peer));
    }

    /**
     * Wants a link to an entry of another region for the moment; it is closed when it has not been used for a while.
     *
     * @param peer the entry
     */
    public void connectOnDemand(PeerAddress peer) {
        context.runOnContext(ignored -> connections.reach(peer));
    }

    /**
     * Sends a message on the link to a process; dropped and counted if there is none.
     *
     * <p>Called on the decision thread only.
     *
     * @param peer the receiver
     * @param message the message
     */
    public void send(Incarnation peer, Message message) {
        Admitted receiver = admitted.get(peer);
        if (receiver == null || receiver.link.isCutOff()) {
            counters.increment(LinkCounter.UNLINKED_SENDS);
            return;
        }
        if (!outbox.offer(receiver.link, message)) {
            receiver.link.cutOff();
        }
    }

    /**
     * Lists the processes that are linked.
     *
     * <p>Called on the decision thread only.
     *
     * @return the processes in no particular order
     */
    public List<PeerAddress> peers() {
        return admitted.values().stream().map(Admitted::peer).toList();
    }

    /**
     * Returns what is counted on the links.
     *
     * @return the counters
     */
    public Counters<LinkCounter> counters() {
        return counters;
    }

    /**
     * Counts the links that are up.
     *
     * @return the number of links on which both sides have said hello
     */
    public long linkCount() {
        return counters.value(LinkCounter.LINKED) - counters.value(LinkCounter.UNLINKED);
    }

    /**
     * Counts the messages that wait for the event loop.
     *
     * @return the number of messages handed over by the decision thread and not yet written
     */
    public long outboxDepth() {
        return outbox.depth();
    }

    /**
     * Sends what was handed over and closes all links.
     *
     * @return completed when this process no longer listens
     */
    public Future<Void> close() {
        return onContext(() -> {
            outbox.drain();
            return connections.close();
        });
    }

    private <R> Future<R> onContext(Supplier<Future<R>> action) {
        Promise<R> done = Promise.promise();
        context.runOnContext(ignored -> action.get().onComplete(done));
        return done.future();
    }

    private final class ToDecisions implements Connections.Listener {
        @Override
        public boolean linked(Link link, PeerAddress peer) {
            return queue.offer((core, nowNanos) -> {
                admitted.put(peer.incarnation(), new Admitted(link, peer));
                handler.linked(core, peer, nowNanos);
            });
        }

        @Override
        public boolean unlinked(Incarnation peer) {
            return queue.offer((core, nowNanos) -> {
                admitted.remove(peer);
                handler.unlinked(core, peer, nowNanos);
            });
        }

        @Override
        public boolean received(Incarnation from, Message message) {
            return queue.offer((core, nowNanos) -> handler.received(core, from, message, nowNanos));
        }
    }
}
