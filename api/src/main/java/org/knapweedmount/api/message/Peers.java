package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.PeerAddress;

/**
 * Lists the entries that the sender knows, so that processes can discover each other while the table service is down.
 *
 * @param entries the entries' addresses
 */
public record Peers(List<PeerAddress> entries) implements Message {
    /** Copies the list of addresses. */
    public Peers {
        entries = List.copyOf(entries);
    }
}
