package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Roster;

/**
 * The closed lists of agents that may be sent tasks of this entry's submissions.
 *
 * <p>Agents that join or are dropped change the list at once, but the list gets its version number only when the next
 * id is issued. So the many agents that link in the first second of an entry share one version.
 */
final class OwnRoster {
    private final EntryContext context;
    private final RosterLog log;
    private final Set<PeerAddress> members = new LinkedHashSet<>();
    private final Set<Incarnation> entries = new LinkedHashSet<>();
    private boolean changed = true;

    OwnRoster(EntryContext context) {
        this.context = context;
        this.log = new RosterLog(context.self());
    }

    /** Adds an agent and returns the first version that lists it. */
    int join(PeerAddress agent) {
        changed |= members.add(agent);
        return log.latest() + 1;
    }

    /** Leaves an agent out of all later versions. */
    void drop(PeerAddress agent) {
        changed |= members.remove(agent);
    }

    /** Tells an entry all kept versions, and all later ones when they are made. */
    void linked(Incarnation entry) {
        entries.add(entry);
        log.messages().forEach(roster -> context.output().send(entry, roster));
    }

    void unlinked(Incarnation entry) {
        entries.remove(entry);
    }

    Set<Incarnation> linkedEntries() {
        return entries;
    }

    /** Returns the version for ids issued now, after linked entries have been told of it. */
    int version() {
        if (changed) {
            changed = false;
            publish(log.latest() + 1);
        }
        return log.latest();
    }

    /** Returns the agents of a version, empty if the version is too old or does not exist. */
    Optional<List<PeerAddress>> agents(int version) {
        return log.agents(version);
    }

    private void publish(int version) {
        List<PeerAddress> agents = List.copyOf(new ArrayList<>(members));
        log.add(version, agents);
        Roster roster = new Roster(context.self(), version, agents);
        entries.forEach(entry -> context.output().send(entry, roster));
    }
}
