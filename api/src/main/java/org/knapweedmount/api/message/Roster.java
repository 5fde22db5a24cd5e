package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;

/**
 * One version of an entry's closed list of agents, told to its peers before an id with that version is issued.
 *
 * @param issuer the entry whose ids name the version
 * @param version the version, from 1 up
 * @param agents every agent that may be sent tasks of submissions whose id names the version
 */
public record Roster(Incarnation issuer, int version, List<PeerAddress> agents) implements Message {
    /** Copies the list. */
    public Roster {
        agents = List.copyOf(agents);
    }
}
