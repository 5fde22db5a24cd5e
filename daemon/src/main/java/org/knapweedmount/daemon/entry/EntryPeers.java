package org.knapweedmount.daemon.entry;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.daemon.store.KnownEntries;

/**
 * The entries that this entry knows and advertises to agents and other entries.
 *
 * <p>Entries that have a row and entries that are linked are advertised. Thus processes find each other while the table
 * service is down, and stopped entries are not advertised forever. Agents receive only the entries of their region.
 * Used on the decision thread.
 */
final class EntryPeers {
    private final PeerAddress self;
    private final Links links;
    private KnownEntries listedEntries = new KnownEntries(List.of(), List.of());
    private List<PeerAddress> advertised = List.of();
    private List<PeerAddress> advertisedToAgents = List.of();

    EntryPeers(PeerAddress self, Links links) {
        this.self = self;
        this.links = links;
    }

    /** Handles the entries that were read from the table service. */
    void entriesListed(KnownEntries known) {
        listedEntries = known;
        known.recent().forEach(links::addKnownEntry);
        known.stale().forEach(links::addKnownEntry);
        advertiseChanges();
    }

    /** Handles the entries that a linked process advertises. */
    void received(Peers peers) {
        peers.entries().forEach(links::addKnownEntry);
    }

    void linked(PeerAddress peer) {
        if (!advertiseChanges().contains(peer.role())) {
            links.send(peer.incarnation(), message(peer.role()));
        }
    }

    void unlinked() {
        advertiseChanges();
    }

    /** Sends changed lists of entries, and returns the roles whose processes received one. */
    private Set<Role> advertiseChanges() {
        Set<Role> roles = EnumSet.noneOf(Role.class);
        List<PeerAddress> known = allKnown();
        if (!known.equals(advertised)) {
            advertised = known;
            roles.add(Role.ENTRY);
        }
        List<PeerAddress> inRegion =
                known.stream().filter(self::sharesRegionWith).toList();
        if (!inRegion.equals(advertisedToAgents)) {
            advertisedToAgents = inRegion;
            roles.add(Role.AGENT);
        }
        links.peers().stream()
                .filter(peer -> roles.contains(peer.role()))
                .forEach(peer -> links.send(peer.incarnation(), message(peer.role())));
        return roles;
    }

    private Peers message(Role role) {
        return new Peers(role == Role.AGENT ? advertisedToAgents : advertised);
    }

    private List<PeerAddress> allKnown() {
        Map<Incarnation, PeerAddress> known = new LinkedHashMap<>();
        known.put(self.incarnation(), self);
        List<PeerAddress> others = new ArrayList<>();
        links.peers().stream().filter(peer -> peer.role() == Role.ENTRY).forEach(others::add);
        others.addAll(listedEntries.recent());
        others.sort((left, right) -> left.incarnation().compareTo(right.incarnation()));
        others.forEach(peer -> known.putIfAbsent(peer.incarnation(), peer));
        listedEntries.stale().forEach(peer -> known.putIfAbsent(peer.incarnation(), peer));
        return List.copyOf(known.values());
    }
}
