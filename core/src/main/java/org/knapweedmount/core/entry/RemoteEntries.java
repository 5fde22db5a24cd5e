package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;

/**
 * The entries of other regions that this one has heard of, to which it has no permanent links.
 *
 * <p>A process is remembered after it has gone, because submissions may still be asked for that it issued, and its name
 * tells the region whose entries can settle them.
 */
final class RemoteEntries {
    /** The number of processes that are remembered. */
    static final int MAX_ENTRIES = 1_024;

    private final PeerAddress self;
    private final Map<String, PeerAddress> byProcess = new LinkedHashMap<>();
    private int turn;

    RemoteEntries(PeerAddress self) {
        this.self = self;
    }

    /** Tells whether a process is in another region than this entry. */
    boolean isRemote(PeerAddress peer) {
        return !peer.sharesRegionWith(self);
    }

    /** Takes entries that exist, in any region; of one process the last that is told stays. */
    void know(Collection<PeerAddress> entries) {
        entries.stream().filter(entry -> entry.role() == Role.ENTRY).forEach(this::know);
    }

    private void know(PeerAddress entry) {
        byProcess.remove(entry.incarnation().process());
        if (!isRemote(entry)) {
            return;
        }
        byProcess.put(entry.incarnation().process(), entry);
        if (byProcess.size() > MAX_ENTRIES) {
            Iterator<String> oldest = byProcess.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Tells whether a process, or another incarnation of it, is known to be in another region. */
    boolean issuedElsewhere(Incarnation issuer) {
        return byProcess.containsKey(issuer.process());
    }

    /**
     * Chooses whom to ask for a submission of another region.
     *
     * @param issuer the entry that issued the id
     * @param tried the entries that could not be reached
     * @return the issuer itself, or another entry of its region, which can relay or settle; empty if there is none
     */
    Optional<PeerAddress> carrier(Incarnation issuer, Set<Incarnation> tried) {
        PeerAddress known = byProcess.get(issuer.process());
        if (known == null) {
            return Optional.empty();
        }
        if (known.incarnation().equals(issuer) && !tried.contains(issuer)) {
            return Optional.of(known);
        }
        List<PeerAddress> others = new ArrayList<>(byProcess.values());
        others.removeIf(entry -> !entry.sharesRegionWith(known) || tried.contains(entry.incarnation()));
        return others.isEmpty() ? Optional.empty() : Optional.of(others.get(Math.floorMod(turn++, others.size())));
    }
}
