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
 * The known entries of other regions, to which there are no permanent links.
 *
 * <p>A process is remembered after it has stopped, because there may still be requests for IDs that it issued, and its
 * name determines the region whose entries can settle them.
 */
final class RemoteEntries {
    /** The maximum number of processes that are remembered. */
    static final int MAX_PROCESSES = 1_024;

    private final PeerAddress self;
    private final Map<String, PeerAddress> byProcess = new LinkedHashMap<>();
    private int nextIndex;

    RemoteEntries(PeerAddress self) {
        this.self = self;
    }

    /** Returns whether a process is in another region than this entry. */
    boolean isRemote(PeerAddress peer) {
        return !peer.sharesRegionWith(self);
    }

    /** Adds known entries of any region; a later address of a process replaces an earlier one. */
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

    /** Returns whether the process of an issuer is known to be in another region, whichever incarnation is known. */
    boolean isInOtherRegion(Incarnation issuer) {
        return byProcess.containsKey(issuer.process());
    }

    /**
     * Chooses the entry that a request for a submission of another region is relayed to.
     *
     * @param issuer the entry that issued the ID
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
