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
    static final int MAX_PROCESSES = 1_024;

    private final PeerAddress self;
    private final Map<String, PeerAddress> byProcess = new LinkedHashMap<>();
    private int nextIndex;

    RemoteEntries(PeerAddress self) {
        this.self = self;
    }

    /** Tells whether a process is in another region than this entry. */
    boolean isRemote(PeerAddress peer) {
        return !peer.sharesRegionWith(self);
    }

    /** Takes entries that exist, in any region; of one process the last that is told stays. */
    void add(Collection<PeerAddress> entries) {
        entries.stream().filter(entry -> entry.role() == Role.ENTRY).forEach(this::add);
    }

    private void add(PeerAddress entry) {
        byProcess.remove(entry.incarnation().process());
        if (!isRemote(entry)) {
            return;
        }
        byProcess.put(entry.incarnation().process(), entry);
        if (byProcess.size() > MAX_PROCESSES) {
            Iterator<String> oldest = byProcess.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Tells whether a process, or another incarnation of it, is known to be in another region. */
    boolean isInOtherRegion(Incarnation issuer) {
        return byProcess.containsKey(issuer.process());
    }

    /**
     * Chooses whom to ask for a submission of another region.
     *
     * @param issuer the entry that issued the id
     * @param unreachable the entries that could not be reached
     * @return the issuer itself, or another entry of its region, which can relay or settle; empty if there is none
     */
    Optional<PeerAddress> relayTarget(Incarnation issuer, Set<Incarnation> unreachable) {
        PeerAddress known = byProcess.get(issuer.process());
        if (known == null) {
            return Optional.empty();
        }
        if (known.incarnation().equals(issuer) && !unreachable.contains(issuer)) {
            return Optional.of(known);
        }
        List<PeerAddress> candidates = new ArrayList<>(byProcess.values());
        candidates.removeIf(entry -> !entry.sharesRegionWith(known) || unreachable.contains(entry.incarnation()));
        return candidates.isEmpty()
                ? Optional.empty()
                : Optional.of(candidates.get(Math.floorMod(nextIndex++, candidates.size())));
    }
}
