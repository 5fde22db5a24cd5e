package org.knapweedmount.core.entry;

import java.util.Optional;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Leaving;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Recall;
import org.knapweedmount.api.message.Resumed;

/** Handles the events and messages of the links to agents. */
final class AgentLinks {
    private final AgentRegistry agents;
    private final TaskScheduler scheduler;
    private final InFlightTasks inFlightTasks;

    AgentLinks(AgentRegistry agents, TaskScheduler scheduler, InFlightTasks inFlightTasks) {
        this.agents = agents;
        this.scheduler = scheduler;
        this.inFlightTasks = inFlightTasks;
    }

    void linked(PeerAddress address, long nowNanos) {
        AgentState agent = agents.findOrCreate(address);
        if (agent.linked()) {
            unlinked(agent.incarnation(), nowNanos);
        }
        agent.linked(nowNanos);
        inFlightTasks.linked(agent);
        agents.replacedIncarnations(agent).forEach(replaced -> dropReplaced(replaced, nowNanos));
    }

    void unlinked(Incarnation incarnation, long nowNanos) {
        Optional<AgentState> found = agents.find(incarnation).filter(AgentState::linked);
        if (found.isEmpty()) {
            return;
        }
        AgentState agent = found.get();
        scheduler.unlinked(agent);
        agent.unlinked(nowNanos);
        inFlightTasks.unlinked(agent);
        if (agents.isReplaced(incarnation)) {
            dropReplaced(agent, nowNanos);
        }
    }

    /** Ends the tasks of an agent whose process has a linked later incarnation, and removes it from the roster. */
    private void dropReplaced(AgentState agent, long nowNanos) {
        inFlightTasks.agentLost(agent, nowNanos);
        agents.removeFromRoster(agent);
    }

    /** Handles a message; any message restarts the link timeout of its sender. */
    void receive(Incarnation from, Message message, long nowNanos) {
        Optional<AgentState> agent = agents.find(from).filter(AgentState::linked);
        if (agent.isEmpty()) {
            return;
        }
        boolean wasTimedOut = agent.get().linkTimedOut(nowNanos);
        agent.get().messageReceived(nowNanos);
        dispatch(agent.get(), message, nowNanos);
        if (wasTimedOut) {
            scheduler.match(nowNanos);
        }
    }

    /** Applies drains that tickets have added or removed. */
    void configChanged(long nowNanos) {
        agents.configChanged();
        agents.all().forEach(scheduler::agentChanged);
        scheduler.match(nowNanos);
    }

    private void dispatch(AgentState agent, Message message, long nowNanos) {
        if (message instanceof Finished finished) {
            inFlightTasks.finished(agent, finished, nowNanos);
        } else if (message instanceof Grant grant) {
            scheduler.granted(agent, grant, nowNanos);
        } else if (message instanceof NotStarted notStarted) {
            inFlightTasks.notStarted(agent, notStarted, nowNanos);
        } else if (message instanceof Resumed resumed) {
            inFlightTasks.resumed(agent, resumed, nowNanos);
        } else if (message instanceof Capacity capacity) {
            updateCapacity(agent, capacity, nowNanos);
        } else if (message instanceof Recall recall) {
            scheduler.recalled(agent, recall);
        } else if (message instanceof Leaving) {
            agent.leaving();
            agents.removeFromRoster(agent);
            scheduler.agentChanged(agent);
        }
    }

    /** Updates the capacity of an agent; one that was leaving and reports slots again is added to the roster again. */
    private void updateCapacity(AgentState agent, Capacity capacity, long nowNanos) {
        agent.capacityReported(capacity);
        if (capacity.slots() > 0) {
            agents.findOrCreate(agent.address());
        }
        scheduler.agentChanged(agent);
        scheduler.updateCapacity(agent, capacity, nowNanos);
    }
}
