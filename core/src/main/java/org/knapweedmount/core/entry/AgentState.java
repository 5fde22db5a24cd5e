package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.message.Capacity;

/** What an entry knows of one incarnation of an agent, through all its links. */
final class AgentState {
    private static final int NOT_IN_ROSTER = Integer.MAX_VALUE;

    private final PeerAddress address;
    private final boolean local;
    private final long linkTimeoutNanos;
    private final Map<TaskId, TaskRun> inFlight = new LinkedHashMap<>();
    private final Map<String, AgentService> services = new LinkedHashMap<>();
    private final Map<Flow, Long> pausedUntilNanos = new HashMap<>();
    private int firstRosterVersion = NOT_IN_ROSTER;
    private boolean linked;
    private boolean leaving;
    private boolean drained;
    private long linkLostNanos;
    private long lastMessageNanos;
    private long lastSequence;

    /**
     * Creates the state of an agent before its first link, which no version of the roster lists yet.
     *
     * @param address the agent
     * @param local true if the agent runs in the entry's data centre
     * @param lastSequence the sequence number after which those of starts sent to this agent begin
     * @param linkTimeoutNanos how long the agent may be silent before it gets no new work
     */
    AgentState(PeerAddress address, boolean local, long lastSequence, long linkTimeoutNanos) {
        this.address = address;
        this.local = local;
        this.lastSequence = lastSequence;
        this.linkTimeoutNanos = linkTimeoutNanos;
    }

    PeerAddress address() {
        return address;
    }

    Incarnation incarnation() {
        return address.incarnation();
    }

    /** The version since which all versions of the entry's roster list the agent; beyond all if later ones will not. */
    int firstRosterVersion() {
        return firstRosterVersion;
    }

    /** Tells whether the next version of the entry's roster lists the agent. */
    boolean inRoster() {
        return firstRosterVersion != NOT_IN_ROSTER;
    }

    /** Notes the first version that lists the agent from now on. */
    void addedToRoster(int version) {
        firstRosterVersion = version;
    }

    /** Notes that later versions do not list the agent; so it is sent no new task until it joins again. */
    void removedFromRoster() {
        firstRosterVersion = NOT_IN_ROSTER;
    }

    boolean local() {
        return local;
    }

    boolean linked() {
        return linked;
    }

    /** When the link was lost last. */
    long linkLostNanos() {
        return linkLostNanos;
    }

    long lastSequence() {
        return lastSequence;
    }

    long nextSequence() {
        return ++lastSequence;
    }

    void linked(long nowNanos) {
        linked = true;
        leaving = false;
        lastMessageNanos = nowNanos;
    }

    void unlinked(long nowNanos) {
        linked = false;
        linkLostNanos = nowNanos;
        services.clear();
        pausedUntilNanos.clear();
    }

    void messageReceived(long nowNanos) {
        lastMessageNanos = nowNanos;
    }

    void leaving() {
        leaving = true;
    }

    /** Takes note of what the agent offers: an agent that leaves offers no slots, so it has stopped if there are any. */
    void capacityReported(Capacity capacity) {
        leaving &= capacity.slots() == 0;
    }

    void drained(boolean inForce) {
        drained = inForce;
    }

    /** Tells whether the agent takes new work as far as it and the tickets say. */
    boolean acceptsWork() {
        return linked && !leaving && !drained;
    }

    /** Tells whether the agent has been silent for the link timeout. */
    boolean silent(long nowNanos) {
        return nowNanos - lastMessageNanos > linkTimeoutNanos;
    }

    /** Tells whether tasks may be sent to the agent now. */
    boolean available(long nowNanos) {
        return acceptsWork() && !silent(nowNanos);
    }

    /** Lets a flow use no leases without a flow for a while, because the agent has no room for it now. */
    void pause(Flow flow, long untilNanos) {
        pausedUntilNanos.put(flow, untilNanos);
    }

    /** Tells whether leases without a flow are not to be used for a flow now. */
    boolean paused(Flow flow, long nowNanos) {
        if (pausedUntilNanos.isEmpty()) {
            return false;
        }
        Long untilNanos = pausedUntilNanos.get(flow);
        if (untilNanos == null || untilNanos - nowNanos > 0) {
            return untilNanos != null;
        }
        pausedUntilNanos.remove(flow);
        return false;
    }

    Map<String, AgentService> services() {
        return services;
    }

    void taskSent(TaskRun task) {
        inFlight.put(task.id(), task);
    }

    /** Returns a task that this agent has not answered for, empty if it has or was never sent it. */
    Optional<TaskRun> inFlight(TaskId task) {
        return Optional.ofNullable(inFlight.get(task));
    }

    void taskResolved(TaskRun task) {
        inFlight.remove(task.id());
    }

    /** Returns the tasks that this agent has not answered for, in the order sent. */
    List<TaskRun> inFlight() {
        return new ArrayList<>(inFlight.values());
    }

    boolean hasInFlight() {
        return !inFlight.isEmpty();
    }
}
