package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Roster;

/** The most recent roster versions of one issuer. */
final class RosterHistory {
    /** The maximum number of versions that are retained for each issuer. */
    static final int MAX_VERSIONS = 256;

    private final Incarnation issuer;
    private final TreeMap<Integer, List<PeerAddress>> versions = new TreeMap<>();

    RosterHistory(Incarnation issuer) {
        this.issuer = issuer;
    }

    /** Adds a version; the agents of a version that is already known are not replaced. */
    void add(int version, List<PeerAddress> agents) {
        versions.putIfAbsent(version, agents);
        while (versions.size() > MAX_VERSIONS) {
            versions.pollFirstEntry();
        }
    }

    Optional<List<PeerAddress>> agents(int version) {
        return Optional.ofNullable(versions.get(version));
    }

    /** Returns the highest version, 0 if there is none. */
    int latest() {
        return versions.isEmpty() ? 0 : versions.lastKey();
    }

    /** Returns the retained versions as messages, in ascending order. */
    List<Roster> messages() {
        List<Roster> messages = new ArrayList<>();
        versions.forEach((version, agents) -> messages.add(new Roster(issuer, version, agents)));
        return messages;
    }
}
