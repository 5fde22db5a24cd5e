package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Roster;

/** The latest roster versions of one issuer. */
final class RosterHistory {
    /** The number of versions that are kept of each issuer. */
    static final int MAX_VERSIONS = 256;

    private final Incarnation issuer;
    private final TreeMap<Integer, List<PeerAddress>> versions = new TreeMap<>();

    RosterHistory(Incarnation issuer) {
        this.issuer = issuer;
    }

    /** Keeps a version; of a version that is known already, the first content stays. */
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

    /** Returns the kept versions as messages, by rising version. */
    List<Roster> messages() {
        List<Roster> messages = new ArrayList<>();
        versions.forEach((version, agents) -> messages.add(new Roster(issuer, version, agents)));
        return messages;
    }
}
