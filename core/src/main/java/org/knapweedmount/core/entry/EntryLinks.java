package org.knapweedmount.core.entry;

import java.util.HashSet;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.RelayAnswer;
import org.knapweedmount.api.message.RelayRequest;
import org.knapweedmount.api.message.Roster;

/** Takes what comes in on the links to other entries. */
final class EntryLinks {
    private final EntryContext context;
    private final OwnRoster ownRoster;
    private final PeerRosters peerRosters;
    private final Relays relays;
    private final RequestRouter router;
    private final RemoteEntries remote;
    private final Set<Incarnation> linkedRemotes = new HashSet<>();

    EntryLinks(
            EntryContext context,
            OwnRoster ownRoster,
            PeerRosters peerRosters,
            Relays relays,
            RequestRouter router,
            RemoteEntries remote) {
        this.context = context;
        this.ownRoster = ownRoster;
        this.peerRosters = peerRosters;
        this.relays = relays;
        this.router = router;
        this.remote = remote;
    }

    /** Takes a new link; entries of other regions are told no rosters, since they have no links to the agents. */
    void linked(PeerAddress peer, long nowNanos) {
        Incarnation entry = peer.incarnation();
        if (remote.isRemote(peer)) {
            linkedRemotes.add(entry);
        } else {
            tellRosters(entry);
        }
        relays.linked(entry, nowNanos);
    }

    private void tellRosters(Incarnation entry) {
        ownRoster.linked(entry);
        peerRosters
                .passedOn(ownRoster.linkedEntries())
                .forEach(roster -> context.output().send(entry, roster));
    }

    void unlinked(Incarnation entry, long nowNanos) {
        if (!linkedRemotes.remove(entry)) {
            passOnRosters(entry);
        }
        relays.unlinked(entry, nowNanos);
    }

    private void passOnRosters(Incarnation entry) {
        ownRoster.unlinked(entry);
        for (Incarnation other : ownRoster.linkedEntries()) {
            peerRosters.latest(entry).forEach(roster -> context.output().send(other, roster));
        }
    }

    void receive(Incarnation from, Message message, long nowNanos) {
        if (message instanceof RelayRequest request) {
            router.relayed(from, request, linkedRemotes.contains(from), nowNanos);
        } else if (message instanceof RelayAnswer answer) {
            relays.answered(from, answer);
        } else if (message instanceof Roster roster) {
            peerRosters.add(roster);
        }
    }
}
