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
 * The versioned lists of agents that tasks of this entry's submissions may be sent to.
 *
 * <p>A version never changes once it has its number, so no other agent is ever sent a task of an ID of that version.
 *
 * <p>Agents are added and removed immediately, but the list gets a version number only when the next ID is issued. So
 * the many agents that link in the first second of an entry share one version.
 */
final class LocalRoster {
    private final EntryContext context;
    private final RosterHistory history;
    private final Set<PeerAddress> currentAgents = new LinkedHashSet<>();
    private final Set<Incarnation> linkedEntries = new LinkedHashSet<>();
    private boolean changed = true;

    LocalRoster(EntryContext context) {
        this.context = context;
        this.history = new RosterHistory(context.self());
    }

    /** Adds an agent and returns the first version that contains it. */
    int add(PeerAddress agent) {
        changed |= currentAgents.add(agent);
        return history.latest() + 1;
    }

    /** Removes an agent from all later versions. */
    void remove(PeerAddress agent) {
        changed |= currentAgents.remove(agent);
    }

    /** Sends an entry all retained versions, and later ones when they are published. */
    void linked(Incarnation entry) {
        linkedEntries.add(entry);
        history.messages().forEach(roster -> context.output().send(entry, roster));
    }

    void unlinked(Incarnation entry) {
        linkedEntries.remove(entry);
    }

    Set<Incarnation> linkedEntries() {
        return linkedEntries;
    }

    /** Returns the version for IDs issued now, after it was sent to the linked entries. */
    int version() {
        if (changed) {
            changed = false;
            publish(history.latest() + 1);
        }
        return history.latest();
    }

    /** Returns the agents of a version, empty if the version was evicted or does not exist. */
    Optional<List<PeerAddress>> agents(int version) {
        return history.agents(version);
    }

    private void publish(int version) {
        List<PeerAddress> agents = List.copyOf(new ArrayList<>(currentAgents));
        history.add(version, agents);
        Roster roster = new Roster(context.self(), version, agents);
        linkedEntries.forEach(entry -> context.output().send(entry, roster));
    }
}
