package org.knapweedmount.core.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;

/**
 * A request that waits for the answer of another entry.
 *
 * @param request the request
 * @param target the entry that is asked
 * @param region the region of the carrier, empty if it is this entry's own
 * @param unreachable the entries that were asked before and could not be reached
 */
record RelayedRequest(
        ForeignRequest request, Incarnation target, Optional<String> region, Set<Incarnation> unreachable) {
    /** Asks the issuer, which is linked or was so a moment ago. */
    static RelayedRequest toIssuer(ForeignRequest request) {
        return new RelayedRequest(request, request.id().issuer(), Optional.empty(), Set.of());
    }

    static RelayedRequest toRegion(ForeignRequest request, PeerAddress target, Set<Incarnation> unreachable) {
        return new RelayedRequest(request, target.incarnation(), Optional.of(target.region()), unreachable);
    }

    boolean isRemote() {
        return region.isPresent();
    }

    /** Returns the entries that could not be reached, when the carrier could not either. */
    Set<Incarnation> unreachableWithTarget() {
        Set<Incarnation> entries = new HashSet<>(unreachable);
        entries.add(target);
        return entries;
    }
}
