package org.knapweedmount.daemon.store;

import java.util.List;

import org.knapweedmount.api.PeerAddress;

/**
 * The entries that have a row in the table service.
 *
 * @param recent those whose row changed lately, or that were seen for the first time lately
 * @param stale those whose row has not changed for a while; they are tried last, but may well be running
 */
public record KnownEntries(List<PeerAddress> recent, List<PeerAddress> stale) {
    /** Copies the lists. */
    public KnownEntries {
        recent = List.copyOf(recent);
        stale = List.copyOf(stale);
    }
}
