package org.knapweedmount.daemon.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.api.message.EntryAdmission;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.Dispatcher;
import org.knapweedmount.core.dispatch.QueueTable;
import org.knapweedmount.core.evacuation.DataCentreAccess;

/** State owned by the decision thread of a dispatching entry: the dispatcher and the queue configuration in force. */
public final class DispatchModule {
    private final DataCentreAccess access = new DataCentreAccess();
    private final Dispatcher dispatcher;
    private final EvacuationOrders evacuation;
    private final QueueTable queues = new QueueTable();
    private final DispatchOutput output;
    private final AtomicLong appliedVersion;
    private final Consumer<PeerAddress> entryListener;
    private final Set<PeerAddress> entries = new HashSet<>();
    private final Set<Incarnation> admittingEntries = new HashSet<>();
    private final Set<Incarnation> agents = new HashSet<>();

    DispatchModule(DispatchOutput output, AtomicLong appliedVersion, Consumer<PeerAddress> entryListener) {
        this.dispatcher = new Dispatcher(output, access);
        this.evacuation = new EvacuationOrders(access, output);
        this.output = output;
        this.appliedVersion = appliedVersion;
        this.entryListener = entryListener;
        dispatcher.startupEntries().onEnd(this::tellAdmission);
    }

    /** Tells all linked processes whether this entry admits jobs. */
    private void tellAdmission() {
        entries.forEach(entry -> tellAdmission(entry.incarnation()));
        agents.forEach(this::tellAdmission);
    }

    private void tellAdmission(Incarnation peer) {
        output.send(peer, new EntryAdmission(!dispatcher.startupEntries().hasNotEnded()));
    }

    /**
     * Returns the dispatcher, which decides about jobs.
     *
     * @return the dispatcher
     */
    public Dispatcher dispatcher() {
        return dispatcher;
    }

    /**
     * Returns the queue configuration in force.
     *
     * @return the queues of the newest version that was applied
     */
    public QueueTable queues() {
        return queues;
    }

    /** Returns the operator's orders to close data centres. */
    EvacuationOrders evacuation() {
        return evacuation;
    }

    /**
     * Applies a version of the queue configuration and, if it is newer, forwards it to all linked entries.
     *
     * @param update the version and its queues
     * @param source the origin of the version, for the log
     */
    public void apply(QueueUpdate update, String source) {
        if (!queues.apply(update)) {
            return;
        }
        appliedVersion.set(update.version());
        output.logEvent(
                "config-applied",
                "version=" + update.version() + " queues=" + update.queues().size() + " from=" + source);
        entries.forEach(entry -> output.send(entry.incarnation(), update));
    }

    /** Handles a list of the entries in the platform's store; those of this entry's own process name are left out. */
    void entriesListed(List<PeerAddress> listed, String ownProcess) {
        dispatcher
                .startupEntries()
                .listed(listed.stream()
                        .map(entry -> entry.incarnation().process())
                        .filter(process -> !process.equals(ownProcess))
                        .toList());
    }

    void linked(PeerAddress peer, long nowNanos) {
        output.logEvent("linked", "peer=" + peer.incarnation());
        tellAdmission(peer.incarnation());
        if (peer.role() == Role.AGENT) {
            agents.add(peer.incarnation());
            evacuation.agentLinked(peer);
            dispatcher.agentLinked(peer.incarnation(), nowNanos);
            sendPeers(peer.incarnation());
            return;
        }
        entries.add(peer);
        dispatcher.entryLinked(peer.incarnation(), nowNanos);
        // An entry that learns its queues here learns first which data centres are closed.
        evacuation.entryLinked(peer.incarnation());
        queues.newest().ifPresent(newest -> output.send(peer.incarnation(), newest));
        sendPeers(peer.incarnation());
    }

    private void admissionReceived(Incarnation entry, boolean open) {
        if (open && admittingEntries.add(entry)) {
            agents.forEach(this::sendPeers);
            sendPeersToEntries();
        }
    }

    private void sendPeersToEntries() {
        entries.forEach(entry -> sendPeers(entry.incarnation()));
    }

    /**
     * Sends the linked entries that admit jobs to a process, so that it finds them while the platform's store is unavailable; an entry
     * also learns that entries are alive that it is cut off from.
     */
    private void sendPeers(Incarnation receiver) {
        output.send(
                receiver,
                new Peers(entries.stream()
                        .filter(entry -> !entry.incarnation().equals(receiver))
                        .filter(entry -> admittingEntries.contains(entry.incarnation()))
                        .toList()));
    }

    void unlinked(Incarnation peer, long nowNanos) {
        output.logEvent("unlinked", "peer=" + peer);
        agents.remove(peer);
        evacuation.unlinked(peer);
        entries.removeIf(entry -> entry.incarnation().equals(peer));
        if (admittingEntries.remove(peer)) {
            sendPeersToEntries();
        }
        dispatcher.unlinked(peer, nowNanos);
    }

    void received(Incarnation from, Message message, long nowNanos) {
        if (message instanceof QueueUpdate update) {
            apply(update, from.process());
        } else if (message instanceof EntryAdmission admission) {
            admissionReceived(from, admission.open());
        } else if (message instanceof ClosedDataCentres closed) {
            evacuation.received(from, closed, nowNanos);
        } else {
            if (message instanceof Peers peers) {
                peers.entries().forEach(entryListener);
            }
            dispatcher.receive(from, message, nowNanos);
        }
    }
}
