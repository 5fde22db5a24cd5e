package org.knapweedmount.core.entry;

import org.knapweedmount.api.Incarnation;
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

    EntryLinks(
            EntryContext context, OwnRoster ownRoster, PeerRosters peerRosters, Relays relays, RequestRouter router) {
        this.context = context;
        this.ownRoster = ownRoster;
        this.peerRosters = peerRosters;
        this.relays = relays;
        this.router = router;
    }

    void linked(Incarnation entry, long nowNanos) {
        ownRoster.linked(entry);
        peerRosters
                .passedOn(ownRoster.linkedEntries())
                .forEach(roster -> context.output().send(entry, roster));
        relays.linked(entry, nowNanos);
    }

    void unlinked(Incarnation entry, long nowNanos) {
        ownRoster.unlinked(entry);
        for (Incarnation other : ownRoster.linkedEntries()) {
            peerRosters.latest(entry).forEach(roster -> context.output().send(other, roster));
        }
        relays.unlinked(entry, nowNanos);
    }

    void receive(Incarnation from, Message message, long nowNanos) {
        if (message instanceof RelayRequest request) {
            router.relayed(from, request, nowNanos);
        } else if (message instanceof RelayAnswer answer) {
            relays.answered(from, answer);
        } else if (message instanceof Roster roster) {
            peerRosters.add(roster);
        }
    }
}
