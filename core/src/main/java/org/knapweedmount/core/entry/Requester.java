package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.Incarnation;

/**
 * The receiver of an answer.
 *
 * @param peer the entry that relayed the request, empty if it is a caller of this entry
 * @param request the number of the request at that entry
 */
record Requester(Optional<Incarnation> peer, long request) {
    static Requester caller(long request) {
        return new Requester(Optional.empty(), request);
    }

    static Requester peer(Incarnation entry, long request) {
        return new Requester(Optional.of(entry), request);
    }
}
