package org.knapweedmount.daemon.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.daemon.store.KnownEntries;

/**
 * The entries that this one knows, and tells to agents and other entries.
 *
 * <p>It tells those that have a row and those that are linked, so that processes find each other while the table
 * service is down, and entries that are gone are not told for ever. Used on the decision thread.
 */
final class EntryPeers {
    private final PeerAddress self;
    private final Links links;
    private KnownEntries listed = new KnownEntries(List.of(), List.of());
    private List<PeerAddress> told = List.of();

    EntryPeers(PeerAddress self, Links links) {
        this.self = self;
        this.links = links;
    }

    /** Takes the rows of entries. */
    void listed(KnownEntries known) {
        listed = known;
        known.recent().forEach(links::know);
        known.stale().forEach(links::know);
        tellChange();
    }

    /** Takes the entries that a linked process knows. */
    void received(Peers peers) {
        peers.entries().forEach(links::know);
    }

    void linked(PeerAddress peer) {
        if (!tellChange()) {
            links.send(peer.incarnation(), new Peers(told));
        }
    }

    void unlinked() {
        tellChange();
    }

    private boolean tellChange() {
        List<PeerAddress> known = known();
        if (known.equals(told)) {
            return false;
        }
        told = known;
        Peers message = new Peers(known);
        for (PeerAddress peer : links.peers()) {
            links.send(peer.incarnation(), message);
        }
        return true;
    }

    private List<PeerAddress> known() {
        Map<Incarnation, PeerAddress> known = new LinkedHashMap<>();
        known.put(self.incarnation(), self);
        List<PeerAddress> others = new ArrayList<>();
        links.peers().stream().filter(peer -> peer.role() == Role.ENTRY).forEach(others::add);
        others.addAll(listed.recent());
        others.sort((left, right) -> left.incarnation().compareTo(right.incarnation()));
        others.forEach(peer -> known.putIfAbsent(peer.incarnation(), peer));
        listed.stale().forEach(peer -> known.putIfAbsent(peer.incarnation(), peer));
        return List.copyOf(known.values());
    }
}
