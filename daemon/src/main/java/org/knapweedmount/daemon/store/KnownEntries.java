package org.knapweedmount.daemon.store;

import java.util.List;

import org.knapweedmount.api.PeerAddress;

/**
 * The entries that have a row in the table service.
 *
 * @param recent entries whose row changed or was first seen recently
 * @param stale entries whose row has not changed for a while; they are tried last, but may still be running
 */
public record KnownEntries(List<PeerAddress> recent, List<PeerAddress> stale) {
    /** Copies the lists. */
    public KnownEntries {
        recent = List.copyOf(recent);
        stale = List.copyOf(stale);
    }
}
