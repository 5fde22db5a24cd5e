package org.knapweedmount.api.message;

import java.util.List;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;

/**
 * A version of an entry's roster, the complete list of its agents; sent to its peers before the entry issues an ID with
 * that version.
 *
 * @param issuer the entry whose submission IDs name the version
 * @param version the version, from 1 up
 * @param agents all agents to which tasks of submissions with this version may be sent
 */
public record Roster(Incarnation issuer, int version, List<PeerAddress> agents) implements Message {
    /** Copies the list of agents. */
    public Roster {
        agents = List.copyOf(agents);
    }
}
