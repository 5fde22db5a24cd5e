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
 * @param target the entry that the request is relayed to
 * @param region the region of the target, empty if it is the local one
 * @param unreachable the earlier targets that could not be reached
 */
record RelayedRequest(
        ForeignRequest request, Incarnation target, Optional<String> region, Set<Incarnation> unreachable) {
    /** Creates a request relayed to the issuer, which is linked or was so recently. */
    static RelayedRequest toIssuer(ForeignRequest request) {
        return new RelayedRequest(request, request.id().issuer(), Optional.empty(), Set.of());
    }

    static RelayedRequest toRegion(ForeignRequest request, PeerAddress target, Set<Incarnation> unreachable) {
        return new RelayedRequest(request, target.incarnation(), Optional.of(target.region()), unreachable);
    }

    boolean isRemote() {
        return region.isPresent();
    }

    /** Returns the unreachable entries, including the target. */
    Set<Incarnation> unreachableWithTarget() {
        Set<Incarnation> entries = new HashSet<>(unreachable);
        entries.add(target);
        return entries;
    }
}
