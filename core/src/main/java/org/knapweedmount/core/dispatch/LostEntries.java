package org.knapweedmount.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.knapweedmount.api.Incarnation;

/**
 * The entries that have no link to this one, and which of them may run jobs: by the word of other processes, or because
 * processes are lost that could tell it.
 *
 * <p>An entry that another process is linked to is alive although it is cut off from this one. Its leases are taken for
 * ended only when {@link DispatchTimings#LOST_ENTRY_NANOS} have passed since the last such word.
 */
final class LostEntries {
    private final Set<Incarnation> linked = new HashSet<>();
    private final Map<Incarnation, Long> lastAliveNanos = new LinkedHashMap<>();
    private final ReportedEntries linkedToPeers = new ReportedEntries();
    private final ReportedEntries linkedToAgents = new ReportedEntries();
    private final ReportedEntries runningAtAgents = new ReportedEntries();
    private final Map<Incarnation, Long> runningSinceNanos = new HashMap<>();
    private final Map<String, Long> lostAgentNanos = new LinkedHashMap<>();

    /** Records a link to an entry. */
    void linked(Incarnation entry) {
        linked.add(entry);
        lastAliveNanos.remove(entry);
    }

    /** Records the loss of the link to an entry. */
    void lost(Incarnation entry, long nowNanos) {
        linked.remove(entry);
        lastAliveNanos.put(entry, nowNanos);
    }

    /** Records which entries another entry is linked to. */
    void reportedByPeer(Incarnation peer, Set<Incarnation> entries, long nowNanos) {
        reported(linkedToPeers, peer, entries, nowNanos);
    }

    /** Records which entries an agent is linked to, and which others have runs there. */
    void reportedByAgent(Incarnation agent, Set<Incarnation> entries, Set<Incarnation> withRuns, long nowNanos) {
        lostAgentNanos.remove(agent.process());
        Set<Incarnation> before = runningAtAgents.reportOf(agent);
        withRuns.stream()
                .filter(entry -> !before.contains(entry))
                .forEach(entry -> runningSinceNanos.put(entry, nowNanos));
        runningAtAgents.put(agent, withRuns);
        runningSinceNanos.keySet().removeIf(entry -> !runningAtAgents.contains(entry));
        reported(linkedToAgents, agent, entries, nowNanos);
    }

    private void reported(ReportedEntries reports, Incarnation reporter, Set<Incarnation> entries, long nowNanos) {
        seenAlive(reports.reportOf(reporter), nowNanos);
        reports.put(reporter, entries);
        seenAlive(entries, nowNanos);
    }

    /** Forgets what a process has reported, as its link is lost. */
    void reporterLost(Incarnation reporter, long nowNanos) {
        if (linkedToAgents.byReporter().containsKey(reporter)) {
            lostAgentNanos.put(reporter.process(), nowNanos);
        }
        seenAlive(linkedToPeers.remove(reporter), nowNanos);
        seenAlive(linkedToAgents.remove(reporter), nowNanos);
        seenAlive(runningAtAgents.remove(reporter), nowNanos);
        runningSinceNanos.keySet().removeIf(entry -> !runningAtAgents.contains(entry));
    }

    /** Counts the leases of entries without a link from now. */
    private void seenAlive(Set<Incarnation> entries, long nowNanos) {
        entries.stream().filter(entry -> !linked.contains(entry)).forEach(entry -> lastAliveNanos.put(entry, nowNanos));
    }

    /** Returns whether an entry is alive but cut off. */
    boolean isCutOff(Incarnation entry) {
        return !linked.contains(entry) && (linkedToPeers.contains(entry) || linkedToAgents.contains(entry));
    }

    /** Returns the entries that are alive but cut off. */
    Set<Incarnation> cutOff() {
        Set<Incarnation> cutOff = new LinkedHashSet<>(linkedToPeers.all());
        cutOff.addAll(linkedToAgents.all());
        cutOff.removeAll(linked);
        return cutOff;
    }

    /**
     * Returns whether runs may be left of an entry that nobody is linked to: agents say so, or agents are lost where it
     * may have runs, and its leases need not have ended.
     */
    boolean mayHaveRuns(Incarnation entry, long nowNanos) {
        if (linked.contains(entry)) {
            return false;
        }
        Long runningNanos = runningSinceNanos.get(entry);
        boolean reported = runningNanos != null && nowNanos - runningNanos <= DispatchTimings.LOST_ENTRY_NANOS;
        return reported || (hasLostAgents(nowNanos) && hasLeases(entry, nowNanos));
    }

    private boolean hasLeases(Incarnation entry, long nowNanos) {
        Long aliveNanos = lastAliveNanos.get(entry);
        return aliveNanos != null && nowNanos - aliveNanos <= DispatchTimings.LOST_ENTRY_NANOS;
    }

    private boolean hasLostAgents(long nowNanos) {
        lostAgentNanos.values().removeIf(lost -> nowNanos - lost > DispatchTimings.LOST_AGENT_REMEMBERED_NANOS);
        return !lostAgentNanos.isEmpty();
    }

    /** Returns the entries without a link that may run jobs. */
    Set<Incarnation> running(long nowNanos) {
        Set<Incarnation> running = cutOff();
        runningSinceNanos.keySet().stream()
                .filter(entry -> mayHaveRuns(entry, nowNanos))
                .forEach(running::add);
        lastAliveNanos.keySet().stream()
                .filter(entry -> mayHaveRuns(entry, nowNanos))
                .forEach(running::add);
        return running;
    }

    /** Returns agents that are linked to an entry, at most as many as a limit. */
    List<Incarnation> agentsLinkedTo(Incarnation entry, int limit) {
        return linkedToAgents.byReporter().entrySet().stream()
                .filter(report -> report.getValue().contains(entry))
                .map(Map.Entry::getKey)
                .limit(limit)
                .toList();
    }

    /** Removes and returns the lost entries whose leases must have ended, each with the time since it was alive in ns. */
    Map<Incarnation, Long> removeEnded(long nowNanos) {
        Map<Incarnation, Long> ended = new LinkedHashMap<>();
        lastAliveNanos.forEach((entry, seenNanos) -> {
            if (!hasLeases(entry, nowNanos) && !isCutOff(entry) && !mayHaveRuns(entry, nowNanos)) {
                ended.put(entry, nowNanos - seenNanos);
            }
        });
        lastAliveNanos.keySet().removeAll(ended.keySet());
        return ended;
    }
}
