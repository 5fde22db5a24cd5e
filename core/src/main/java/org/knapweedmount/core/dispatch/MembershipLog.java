package org.knapweedmount.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;

/** What an entry knows of the other entries, and since when it runs, for the log; decides nothing. */
final class MembershipLog {
    private final DispatchOutput output;
    private final Set<Incarnation> agents = new HashSet<>();
    private final Set<Incarnation> linked = new TreeSet<>();
    private final Map<Incarnation, Set<Incarnation>> reports = new HashMap<>();
    private Set<Incarnation> unlinked = Set.of();
    private OptionalLong startNanos = OptionalLong.empty();

    MembershipLog(DispatchOutput output) {
        this.output = output;
    }

    /** Records that the entry runs; its uptime counts from the first call. */
    void started(long nowNanos) {
        if (startNanos.isEmpty()) {
            startNanos = OptionalLong.of(nowNanos);
        }
    }

    /** Returns the uptime, in ms. */
    long uptimeMillis(long nowNanos) {
        started(nowNanos);
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos.getAsLong());
    }

    /** Records a link to an agent, and logs the first one. */
    void agentLinked(Incarnation agent, long nowNanos) {
        long uptimeMillis = uptimeMillis(nowNanos);
        boolean first = agents.isEmpty();
        agents.add(agent);
        if (first) {
            output.logEvent("first-agent-linked", "agent=" + agent + " up=" + uptimeMillis);
        }
    }

    /** Records a link to an entry. */
    void entryLinked(Incarnation entry) {
        linked.add(entry);
        logChange(findUnlinked(), "linked", entry);
    }

    /** Records the loss of a link; what the process has reported counts no more. */
    void unlinked(Incarnation peer) {
        agents.remove(peer);
        reports.remove(peer);
        boolean wasLinked = linked.remove(peer);
        Set<Incarnation> present = findUnlinked();
        if (wasLinked || !present.equals(unlinked)) {
            logChange(present, "unlinked", peer);
        }
    }

    /** Records which entries a process is linked to, if the message tells it. */
    void received(Incarnation from, Message message) {
        if (message instanceof Peers peers) {
            reported(
                    from, peers.entries().stream().map(PeerAddress::incarnation).collect(Collectors.toSet()));
        } else if (message instanceof LinkedEntries entries) {
            reported(from, Set.copyOf(entries.entries()));
        }
    }

    private void reported(Incarnation from, Set<Incarnation> entries) {
        reports.put(from, entries);
        Set<Incarnation> present = findUnlinked();
        if (!present.equals(unlinked)) {
            logChange(present, "reported", from);
        }
    }

    private Set<Incarnation> findUnlinked() {
        Set<Incarnation> alive = new TreeSet<>();
        reports.values().forEach(alive::addAll);
        alive.removeAll(linked);
        return alive;
    }

    private void logChange(Set<Incarnation> present, String change, Incarnation by) {
        unlinked = present;
        output.logEvent("entries-known", "change=" + change + " by=" + by + " " + describe());
    }

    /** Returns whether there is a link to an entry. */
    boolean isLinked(Incarnation entry) {
        return linked.contains(entry);
    }

    /** Describes the linked entries and those that other processes are linked to. */
    String describe() {
        return "linked=" + List.copyOf(linked) + " unlinked=" + List.copyOf(unlinked);
    }

    /** Describes the number of linked entries and those that are alive without a link. */
    String summary() {
        return "entries=" + linked.size() + " unlinked=" + List.copyOf(unlinked);
    }
}
