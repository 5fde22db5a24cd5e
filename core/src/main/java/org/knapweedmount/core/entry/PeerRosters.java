package org.knapweedmount.core.entry;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Roster;

/**
 * The rosters that other entries have told, so that their submissions can be settled after they have gone.
 *
 * <p>Addresses that stand in several versions are kept once. When there are too many issuers, the one that was heard of
 * least recently is forgotten.
 */
final class PeerRosters {
    /** The number of issuers whose rosters are kept. */
    static final int MAX_ISSUERS = 128;

    private static final int MAX_INTERNED_ADDRESSES = 20_000;

    private final Map<Incarnation, RosterLog> logs = new LinkedHashMap<>(MAX_ISSUERS, 0.75f, true);
    private final Map<PeerAddress, PeerAddress> interned = new HashMap<>();

    void add(Roster roster) {
        RosterLog log = logs.computeIfAbsent(roster.issuer(), RosterLog::new);
        log.add(roster.version(), intern(roster.agents()));
        if (logs.size() > MAX_ISSUERS) {
            Iterator<Incarnation> oldest = logs.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the agents that may have been sent tasks of a submission, empty if that is not known. */
    Optional<List<PeerAddress>> agents(SubmissionId id) {
        return Optional.ofNullable(logs.get(id.issuer())).flatMap(log -> log.agents(id.rosterVersion()));
    }

    private List<PeerAddress> intern(List<PeerAddress> agents) {
        if (interned.size() > MAX_INTERNED_ADDRESSES) {
            interned.clear();
        }
        return agents.stream()
                .map(agent -> interned.computeIfAbsent(agent, same -> same))
                .toList();
    }
}
