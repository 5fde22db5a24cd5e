package org.knapweedmount.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.knapweedmount.api.Incarnation;

/**
 * The entries that have no link to this one, and which of them other processes are linked to.
 *
 * <p>An entry that another process is linked to is alive although it is cut off from this one. Its leases are taken for
 * ended only when {@link DispatchTimings#LOST_ENTRY_NANOS} have passed since the last such word.
 */
final class LostEntries {
    /** How many entries without a link are remembered, so that one that is alive again is known to be cut off. */
    private static final int MAX_REMEMBERED = 256;

    private final Set<Incarnation> linked = new HashSet<>();
    private final Map<Incarnation, Long> cutOffFromNanos = new LinkedHashMap<>();
    private final Map<Incarnation, Long> lastAliveNanos = new LinkedHashMap<>();
    private final Map<Incarnation, Set<Incarnation>> linkedToPeers = new HashMap<>();
    private final Map<Incarnation, Set<Incarnation>> linkedToAgents = new LinkedHashMap<>();

    /** Records a link to an entry. */
    void linked(Incarnation entry) {
        linked.add(entry);
        cutOffFromNanos.remove(entry);
        lastAliveNanos.remove(entry);
    }

    /** Records the loss of the link to an entry. */
    void lost(Incarnation entry, long nowNanos) {
        linked.remove(entry);
        lastAliveNanos.put(entry, nowNanos);
        rememberCutOff(entry, nowNanos);
    }

    private void rememberCutOff(Incarnation entry, long fromNanos) {
        cutOffFromNanos.putIfAbsent(entry, fromNanos);
        if (cutOffFromNanos.size() > MAX_REMEMBERED) {
            cutOffFromNanos.remove(cutOffFromNanos.keySet().iterator().next());
        }
    }

    /** Records which entries another entry is linked to. */
    void reportedByPeer(Incarnation peer, Set<Incarnation> entries, long nowNanos) {
        reported(linkedToPeers, peer, entries, nowNanos);
    }

    /** Records which entries an agent is linked to. */
    void reportedByAgent(Incarnation agent, Set<Incarnation> entries, long nowNanos) {
        reported(linkedToAgents, agent, entries, nowNanos);
    }

    private void reported(
            Map<Incarnation, Set<Incarnation>> reports, Incarnation reporter, Set<Incarnation> entries, long nowNanos) {
        Set<Incarnation> before = reports.put(reporter, entries);
        seenAlive(before == null ? Set.of() : before, nowNanos);
        seenAlive(entries, nowNanos);
    }

    /** Forgets what a process has reported, as its link is lost. */
    void reporterLost(Incarnation reporter, long nowNanos) {
        seenAlive(linkedToPeers.getOrDefault(reporter, Set.of()), nowNanos);
        seenAlive(linkedToAgents.getOrDefault(reporter, Set.of()), nowNanos);
        linkedToPeers.remove(reporter);
        linkedToAgents.remove(reporter);
    }

    /** Counts the leases of entries without a link from now. */
    private void seenAlive(Set<Incarnation> entries, long nowNanos) {
        for (Incarnation entry : entries) {
            if (!linked.contains(entry)) {
                lastAliveNanos.put(entry, nowNanos);
                rememberCutOff(entry, nowNanos + DispatchTimings.NEW_ENTRY_LINK_NANOS);
            }
        }
    }

    private Set<Incarnation> reported() {
        Set<Incarnation> reported = new HashSet<>();
        linkedToPeers.values().forEach(reported::addAll);
        linkedToAgents.values().forEach(reported::addAll);
        return reported;
    }

    /** Returns the entries that are alive but cut off; none that has just started and will be linked. */
    List<Incarnation> cutOff(long nowNanos) {
        if (cutOffFromNanos.isEmpty()) {
            return List.of();
        }
        Set<Incarnation> reported = reported();
        return cutOffFromNanos.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue() >= 0 && reported.contains(entry.getKey()))
                .map(Map.Entry::getKey)
                .toList();
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
        Set<Incarnation> alive = reported();
        lastAliveNanos.forEach((entry, seenNanos) -> {
            if (!alive.contains(entry) && nowNanos - seenNanos > DispatchTimings.LOST_ENTRY_NANOS) {
                ended.put(entry, nowNanos - seenNanos);
            }
        });
        lastAliveNanos.keySet().removeAll(ended.keySet());
        return ended;
    }
}
