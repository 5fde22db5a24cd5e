package org.knapweedmount.daemon.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.Dispatcher;
import org.knapweedmount.core.dispatch.QueueTable;

/** What the decision thread of a dispatching entry works on: the decisions and the queues that they read. */
public final class DispatchModule {
    private final Dispatcher dispatcher;
    private final QueueTable queues = new QueueTable();
    private final DispatchOutput output;
    private final AtomicLong version;
    private final Consumer<PeerAddress> known;
    private final Set<PeerAddress> entries = new HashSet<>();
    private final Set<Incarnation> agents = new HashSet<>();

    DispatchModule(DispatchOutput output, AtomicLong version, Consumer<PeerAddress> known) {
        this.dispatcher = new Dispatcher(output);
        this.output = output;
        this.version = version;
        this.known = known;
    }

    /**
     * Returns the decisions about jobs.
     *
     * @return the dispatcher
     */
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Returns the queues in force.
     *
     * @return the queues
     */
    public QueueTable queues() {
        return queues;
    }

    /**
     * Takes the queues of a version and passes them on to the other entries if they are new.
     *
     * @param update the version and its queues
     * @param source where they come from
     */
    public void apply(QueueUpdate update, String source) {
        if (!queues.apply(update)) {
            return;
        }
        version.set(update.version());
        output.logEvent(
                "config-applied",
                "version=" + update.version() + " queues=" + update.queues().size() + " from=" + source);
        entries.forEach(entry -> output.send(entry.incarnation(), update));
    }

    void linked(PeerAddress peer, long nowNanos) {
        output.logEvent("linked", "peer=" + peer.incarnation());
        if (peer.role() == Role.AGENT) {
            agents.add(peer.incarnation());
            dispatcher.agentLinked(peer.incarnation(), nowNanos);
            tellEntries(peer.incarnation());
            return;
        }
        entries.add(peer);
        dispatcher.entryLinked(peer.incarnation());
        queues.newest().ifPresent(newest -> output.send(peer.incarnation(), newest));
        tellEntries(peer.incarnation());
        agents.forEach(this::tellEntries);
    }

    /** Tells a process which entries there are, so that it finds them while the platform's store is away. */
    private void tellEntries(Incarnation receiver) {
        output.send(
                receiver,
                new Peers(entries.stream()
                        .filter(entry -> !entry.incarnation().equals(receiver))
                        .toList()));
    }

    void unlinked(Incarnation peer, long nowNanos) {
        output.logEvent("unlinked", "peer=" + peer);
        agents.remove(peer);
        entries.removeIf(entry -> entry.incarnation().equals(peer));
        dispatcher.unlinked(peer, nowNanos);
    }

    void received(Incarnation from, Message message, long nowNanos) {
        if (message instanceof QueueUpdate update) {
            apply(update, from.process());
        } else if (message instanceof Peers peers) {
            peers.entries().forEach(known);
        } else {
            dispatcher.receive(from, message, nowNanos);
        }
    }
}
