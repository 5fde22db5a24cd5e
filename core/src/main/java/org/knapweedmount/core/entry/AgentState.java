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

/** The state of one incarnation of an agent as seen by an entry, across all its links. */
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
     * Creates the state of an agent without a link that is not in the roster.
     *
     * @param address the agent
     * @param local true if the agent is in the entry's data centre
     * @param lastSequence the sequence number before that of the first start sent to this agent
     * @param linkTimeoutNanos the time without a message after which the agent gets no new work, in ns
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

    /** The version since which the roster contains the agent, {@link Integer#MAX_VALUE} if it is not in the roster. */
    int firstRosterVersion() {
        return firstRosterVersion;
    }

    /** Returns whether the next version of the entry's roster contains the agent. */
    boolean inRoster() {
        return firstRosterVersion != NOT_IN_ROSTER;
    }

    /** Records the first roster version that contains the agent. */
    void addedToRoster(int version) {
        firstRosterVersion = version;
    }

    /** Records that later roster versions omit the agent, so that it gets no new tasks until it is added again. */
    void removedFromRoster() {
        firstRosterVersion = NOT_IN_ROSTER;
    }

    boolean local() {
        return local;
    }

    boolean linked() {
        return linked;
    }

    /** When the link was last lost. */
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

    /** Updates the leaving state: a leaving agent reports no slots, so one that reports slots is no longer leaving. */
    void capacityReported(Capacity capacity) {
        leaving &= capacity.slots() == 0;
    }

    void drained(boolean isDrained) {
        drained = isDrained;
    }

    /** Returns whether the agent is linked and neither leaving nor drained. */
    boolean acceptsWork() {
        return linked && !leaving && !drained;
    }

    /** Returns whether no message has come from the agent for longer than the link timeout. */
    boolean linkTimedOut(long nowNanos) {
        return nowNanos - lastMessageNanos > linkTimeoutNanos;
    }

    /** Returns whether tasks may be sent to the agent now. */
    boolean available(long nowNanos) {
        return acceptsWork() && !linkTimedOut(nowNanos);
    }

    /** Keeps a flow from using unreserved leases for a while, because the agent has no capacity for it now. */
    void pause(Flow flow, long untilNanos) {
        pausedUntilNanos.put(flow, untilNanos);
    }

    /** Returns whether a flow must not use unreserved leases of the agent now. */
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

    /** Returns a task that is in flight at this agent, empty if it was resolved or never sent. */
    Optional<TaskRun> inFlight(TaskId task) {
        return Optional.ofNullable(inFlight.get(task));
    }

    void taskResolved(TaskRun task) {
        inFlight.remove(task.id());
    }

    /** Returns the tasks that are in flight at this agent, in the order sent. */
    List<TaskRun> inFlight() {
        return new ArrayList<>(inFlight.values());
    }

    boolean hasInFlight() {
        return !inFlight.isEmpty();
    }
}
