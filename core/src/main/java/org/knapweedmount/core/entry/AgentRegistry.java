package org.knapweedmount.core.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;

/** The agents that are linked or were linked recently. */
final class AgentRegistry {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long LOST_AGENT_RETENTION_NANOS = 60_000 * NANOS_PER_MILLI;

    private final EntryContext context;
    private final LocalRoster roster;
    private final Map<Incarnation, AgentState> byIncarnation = new LinkedHashMap<>();
    private final Map<String, Incarnation> latestByProcess = new HashMap<>();
    private long highestEvictedSequence;

    AgentRegistry(EntryContext context, LocalRoster roster) {
        this.context = context;
        this.roster = roster;
    }

    Optional<AgentState> find(Incarnation incarnation) {
        return Optional.ofNullable(byIncarnation.get(incarnation));
    }

    Collection<AgentState> all() {
        return byIncarnation.values();
    }

    /** Returns the state of a linked agent, which is added to the roster if it is not in it. */
    AgentState findOrCreate(PeerAddress address) {
        latestByProcess.put(address.incarnation().process(), address.incarnation());
        AgentState agent = byIncarnation.computeIfAbsent(address.incarnation(), unused -> create(address));
        if (!agent.inRoster()) {
            agent.addedToRoster(roster.add(address));
        }
        return agent;
    }

    /**
     * Removes an agent from the rosters of IDs issued from now on.
     *
     * <p>Its state is kept, so that a task that was sent to it is never sent to it again if it is linked once more.
     */
    void removeFromRoster(AgentState agent) {
        agent.removedFromRoster();
        roster.remove(agent.address());
    }

    boolean isLinked(Incarnation incarnation) {
        return find(incarnation).filter(AgentState::linked).isPresent();
    }

    /** Returns whether an agent is not linked and another incarnation of its process is. */
    boolean isReplaced(Incarnation incarnation) {
        Incarnation latest = latestByProcess.get(incarnation.process());
        return latest != null && !latest.equals(incarnation) && isLinked(latest) && !isLinked(incarnation);
    }

    /** Returns the earlier incarnations of an agent's process that are not linked. */
    List<AgentState> replacedIncarnations(AgentState agent) {
        return byIncarnation.values().stream()
                .filter(other -> other != agent && !other.linked())
                .filter(other -> sameProcess(other, agent))
                .toList();
    }

    /**
     * Removes agents whose link was lost at least the retention period ago, also from later rosters.
     *
     * <p>An agent with tasks in flight is kept.
     */
    void evictExpired(long nowNanos) {
        List<AgentState> expired = byIncarnation.values().stream()
                .filter(agent -> !agent.linked() && !agent.hasInFlight())
                .filter(agent -> nowNanos - agent.linkLostNanos() >= LOST_AGENT_RETENTION_NANOS)
                .toList();
        for (AgentState agent : expired) {
            byIncarnation.remove(agent.incarnation());
            latestByProcess.remove(agent.incarnation().process(), agent.incarnation());
            removeFromRoster(agent);
            highestEvictedSequence = Math.max(highestEvictedSequence, agent.lastSequence());
        }
    }

    /** Applies drains that tickets have added or removed. */
    void configChanged() {
        byIncarnation.values().forEach(this::updateDrained);
    }

    private AgentState create(PeerAddress address) {
        boolean local = address.dataCentre().equals(context.address().dataCentre());
        long linkTimeoutNanos = context.limits().linkTimeoutMillis() * NANOS_PER_MILLI;
        AgentState agent = new AgentState(address, local, highestEvictedSequence, linkTimeoutNanos);
        updateDrained(agent);
        return agent;
    }

    private void updateDrained(AgentState agent) {
        agent.drained(context.config()
                .drained(agent.incarnation().process(), agent.address().dataCentre()));
    }

    private static boolean sameProcess(AgentState one, AgentState other) {
        return one.incarnation().process().equals(other.incarnation().process());
    }
}
