package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.PeerAddress;

/**
 * The entries that the sender knows, so that processes find each other while the table service is down.
 *
 * @param entries the entries' addresses
 */
public record Peers(List<PeerAddress> entries) implements Message {
    /** Copies the list. */
    public Peers {
        entries = List.copyOf(entries);
    }
}
