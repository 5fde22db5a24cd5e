package org.knapweedmount.core.dispatch;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.knapweedmount.api.Incarnation;

/**
 * The entries that have no link to this one, and which of them other processes are linked to or hold runs of.
 *
 * <p>An entry that another process is linked to is alive although it is cut off from this one. Its leases are taken for
 * ended only when {@link DispatchTimings#LOST_ENTRY_NANOS} have passed since the last such word and no agent has runs of it.
 */
final class LostEntries {
    private final Set<Incarnation> linked = new HashSet<>();
    private final Map<Incarnation, Long> lastAliveNanos = new LinkedHashMap<>();
    private final Map<Incarnation, Set<Incarnation>> linkedToPeers = new HashMap<>();
    private final Map<Incarnation, Set<Incarnation>> linkedToAgents = new LinkedHashMap<>();
    private final Map<Incarnation, Set<Incarnation>> runningAtAgents = new HashMap<>();
    private Set<Incarnation> cutOff = Set.of();
    private Set<Incarnation> withRuns = Set.of();

    /** Records a link to an entry. */
    void linked(Incarnation entry) {
        linked.add(entry);
        lastAliveNanos.remove(entry);
        update();
    }

    /** Records the loss of the link to an entry. */
    void lost(Incarnation entry, long nowNanos) {
        linked.remove(entry);
        lastAliveNanos.put(entry, nowNanos);
        update();
    }

    private void update() {
        cutOff = unlinked(linkedToPeers, linkedToAgents);
        withRuns = unlinked(runningAtAgents, Map.of());
    }

    private Set<Incarnation> unlinked(
            Map<Incarnation, Set<Incarnation>> reports, Map<Incarnation, Set<Incarnation>> moreReports) {
        Set<Incarnation> entries = new LinkedHashSet<>();
        reports.values().forEach(entries::addAll);
        moreReports.values().forEach(entries::addAll);
        entries.removeAll(linked);
        return Collections.unmodifiableSet(entries);
    }

    /** Records which entries another entry is linked to. */
    void reportedByPeer(Incarnation peer, Set<Incarnation> entries, long nowNanos) {
        reported(linkedToPeers, peer, entries, nowNanos);
    }

    /** Records which entries an agent is linked to, and which others have runs there. */
    void reportedByAgent(Incarnation agent, Set<Incarnation> entries, Set<Incarnation> running, long nowNanos) {
        runningAtAgents.put(agent, running);
        reported(linkedToAgents, agent, entries, nowNanos);
    }

    private void reported(
            Map<Incarnation, Set<Incarnation>> reports, Incarnation reporter, Set<Incarnation> entries, long nowNanos) {
        Set<Incarnation> before = reports.put(reporter, entries);
        seenAlive(before == null ? Set.of() : before, nowNanos);
        seenAlive(entries, nowNanos);
        update();
    }

    /** Forgets what a process has reported, as its link is lost. */
    void reporterLost(Incarnation reporter, long nowNanos) {
        seenAlive(linkedToPeers.getOrDefault(reporter, Set.of()), nowNanos);
        seenAlive(linkedToAgents.getOrDefault(reporter, Set.of()), nowNanos);
        linkedToPeers.remove(reporter);
        linkedToAgents.remove(reporter);
        runningAtAgents.remove(reporter);
        update();
    }

    /** Counts the leases of entries without a link from now. */
    private void seenAlive(Set<Incarnation> entries, long nowNanos) {
        entries.stream().filter(entry -> !linked.contains(entry)).forEach(entry -> lastAliveNanos.put(entry, nowNanos));
    }

    /** Returns the entries that are alive but cut off. */
    Set<Incarnation> cutOff() {
        return cutOff;
    }

    /** Returns the entries without a link whose runs have not all ended, by the word of agents. */
    Set<Incarnation> withRuns() {
        return withRuns;
    }

    /** Returns agents that are linked to an entry, at most as many as a limit. */
    List<Incarnation> agentsLinkedTo(Incarnation entry, int limit) {
        return linkedToAgents.entrySet().stream()
                .filter(report -> report.getValue().contains(entry))
                .map(Map.Entry::getKey)
                .limit(limit)
                .toList();
    }

    /** Removes and returns the lost entries whose leases must have ended, each with the time since it was alive in ns. */
    Map<Incarnation, Long> removeEnded(long nowNanos) {
        Map<Incarnation, Long> ended = new LinkedHashMap<>();
        if (lastAliveNanos.isEmpty()) {
            return ended;
        }
        lastAliveNanos.forEach((entry, seenNanos) -> {
            boolean mayRun = cutOff.contains(entry) || withRuns.contains(entry);
            if (!mayRun && nowNanos - seenNanos > DispatchTimings.LOST_ENTRY_NANOS) {
                ended.put(entry, nowNanos - seenNanos);
            }
        });
        lastAliveNanos.keySet().removeAll(ended.keySet());
        return ended;
    }
}
