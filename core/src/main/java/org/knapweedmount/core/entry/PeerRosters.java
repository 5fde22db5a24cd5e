package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Roster;

/**
 * The rosters that other entries have sent, by which their submissions can be settled after they have stopped.
 *
 * <p>Addresses that occur in several versions are stored once. When there are too many issuers, the least recently used
 * one is evicted.
 */
final class PeerRosters {
    /** The maximum number of issuers whose rosters are retained. */
    static final int MAX_ISSUERS = 128;

    private static final int MAX_FORWARDED_ISSUERS = 16;
    private static final int MAX_FORWARDED_VERSIONS_PER_ISSUER = 8;
    private static final int MAX_INTERNED_ADDRESSES = 20_000;

    private final Map<Incarnation, RosterHistory> histories = new LinkedHashMap<>(MAX_ISSUERS, 0.75f, true);
    private final Map<PeerAddress, PeerAddress> interned = new HashMap<>();

    void add(Roster roster) {
        RosterHistory history = histories.computeIfAbsent(roster.issuer(), RosterHistory::new);
        history.add(roster.version(), intern(roster.agents()));
        if (histories.size() > MAX_ISSUERS) {
            Iterator<Incarnation> iterator = histories.keySet().iterator();
            iterator.next();
            iterator.remove();
        }
    }

    /** Returns the agents that tasks of a submission may have been sent to, empty if they are not known. */
    Optional<List<PeerAddress>> agents(SubmissionId id) {
        return Optional.ofNullable(histories.get(id.issuer())).flatMap(history -> history.agents(id.rosterVersion()));
    }

    /**
     * Returns the rosters of issuers that cannot send them to a new entry themselves.
     *
     * @param linked the issuers that are linked here and so send their rosters themselves
     * @return the latest versions of the most recently used other issuers
     */
    List<Roster> rostersToForward(Set<Incarnation> linked) {
        List<Incarnation> unlinked = new ArrayList<>(histories.keySet());
        unlinked.removeAll(linked);
        List<Roster> rosters = new ArrayList<>();
        for (Incarnation issuer :
                unlinked.subList(Math.max(0, unlinked.size() - MAX_FORWARDED_ISSUERS), unlinked.size())) {
            rosters.addAll(latest(issuer));
        }
        return rosters;
    }

    /** Returns the latest versions of one issuer, none if it is not known. */
    List<Roster> latest(Incarnation issuer) {
        RosterHistory history = histories.get(issuer);
        if (history == null) {
            return List.of();
        }
        List<Roster> versions = history.messages();
        return versions.subList(Math.max(0, versions.size() - MAX_FORWARDED_VERSIONS_PER_ISSUER), versions.size());
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
