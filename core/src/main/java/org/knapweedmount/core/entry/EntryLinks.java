package org.knapweedmount.core.entry;

import java.util.HashSet;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.RelayAnswer;
import org.knapweedmount.api.message.RelayRequest;
import org.knapweedmount.api.message.Roster;

/** Handles the events and messages of the links to other entries. */
final class EntryLinks {
    private final EntryContext context;
    private final LocalRoster localRoster;
    private final PeerRosters peerRosters;
    private final RequestRelay relay;
    private final RequestRouter router;
    private final RemoteEntries remoteEntries;
    private final Set<Incarnation> linkedRemoteEntries = new HashSet<>();

    EntryLinks(
            EntryContext context,
            LocalRoster localRoster,
            PeerRosters peerRosters,
            RequestRelay relay,
            RequestRouter router,
            RemoteEntries remoteEntries) {
        this.context = context;
        this.localRoster = localRoster;
        this.peerRosters = peerRosters;
        this.relay = relay;
        this.router = router;
        this.remoteEntries = remoteEntries;
    }

    /** Handles a new link; entries of other regions get no rosters, because they have no links to the agents. */
    void linked(PeerAddress peer, long nowNanos) {
        Incarnation entry = peer.incarnation();
        if (remoteEntries.isRemote(peer)) {
            linkedRemoteEntries.add(entry);
        } else {
            sendRosters(entry);
        }
        relay.linked(entry, nowNanos);
    }

    private void sendRosters(Incarnation entry) {
        localRoster.linked(entry);
        peerRosters
                .rostersToForward(localRoster.linkedEntries())
                .forEach(roster -> context.output().send(entry, roster));
    }

    void unlinked(Incarnation entry, long nowNanos) {
        if (!linkedRemoteEntries.remove(entry)) {
            forwardRosters(entry);
        }
        relay.unlinked(entry, nowNanos);
    }

    private void forwardRosters(Incarnation entry) {
        localRoster.unlinked(entry);
        for (Incarnation other : localRoster.linkedEntries()) {
            peerRosters.latest(entry).forEach(roster -> context.output().send(other, roster));
        }
    }

    void receive(Incarnation from, Message message, long nowNanos) {
        if (message instanceof RelayRequest request) {
            router.relayed(from, request, linkedRemoteEntries.contains(from), nowNanos);
        } else if (message instanceof RelayAnswer answer) {
            relay.answered(from, answer);
        } else if (message instanceof Roster roster) {
            peerRosters.add(roster);
        }
    }
}
