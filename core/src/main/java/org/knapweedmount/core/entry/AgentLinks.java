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

/** Takes what comes in on the links to agents. */
final class AgentLinks {
    private final Agents agents;
    private final TaskScheduler scheduler;
    private final StartedTasks startedTasks;

    AgentLinks(Agents agents, TaskScheduler scheduler, StartedTasks startedTasks) {
        this.agents = agents;
        this.scheduler = scheduler;
        this.startedTasks = startedTasks;
    }

    void linked(PeerAddress address, long nowNanos) {
        AgentState agent = agents.obtain(address);
        if (agent.linked()) {
            unlinked(agent.incarnation(), nowNanos);
        }
        agent.linked(nowNanos);
        startedTasks.linked(agent);
        agents.replacedBy(agent).forEach(earlier -> replaced(earlier, nowNanos));
    }

    void unlinked(Incarnation incarnation, long nowNanos) {
        Optional<AgentState> found = agents.find(incarnation).filter(AgentState::linked);
        if (found.isEmpty()) {
            return;
        }
        AgentState agent = found.get();
        scheduler.unlinked(agent);
        agent.unlinked(nowNanos);
        startedTasks.unlinked(agent);
        if (agents.isGone(incarnation)) {
            replaced(agent, nowNanos);
        }
    }

    /** Gives up an agent that is not linked while a later incarnation of its process is. */
    private void replaced(AgentState agent, long nowNanos) {
        startedTasks.lost(agent, nowNanos);
        agents.drop(agent);
    }

    /** Takes a message; any message shows that its sender runs. */
    void receive(Incarnation from, Message message, long nowNanos) {
        Optional<AgentState> agent = agents.find(from).filter(AgentState::linked);
        if (agent.isEmpty()) {
            return;
        }
        boolean silentBefore = agent.get().silent(nowNanos);
        agent.get().heard(nowNanos);
        dispatch(agent.get(), message, nowNanos);
        if (silentBefore) {
            scheduler.match(nowNanos);
        }
    }

    /** Takes account of drains that tickets have put in force or lifted. */
    void configChanged(long nowNanos) {
        agents.configChanged();
        agents.all().forEach(scheduler::agentChanged);
        scheduler.match(nowNanos);
    }

    private void dispatch(AgentState agent, Message message, long nowNanos) {
        if (message instanceof Finished finished) {
            startedTasks.finished(agent, finished, nowNanos);
        } else if (message instanceof Grant grant) {
            scheduler.granted(agent, grant, nowNanos);
        } else if (message instanceof NotStarted notStarted) {
            startedTasks.notStarted(agent, notStarted, nowNanos);
        } else if (message instanceof Resumed resumed) {
            startedTasks.resumed(agent, resumed, nowNanos);
        } else if (message instanceof Capacity capacity) {
            capacity(agent, capacity, nowNanos);
        } else if (message instanceof Recall recall) {
            scheduler.recalled(agent, recall);
        } else if (message instanceof Leaving) {
            agent.leaving();
            agents.drop(agent);
            scheduler.agentChanged(agent);
        }
    }

    /** Takes what an agent offers; one that was leaving and offers slots again is part of the roster as before. */
    private void capacity(AgentState agent, Capacity capacity, long nowNanos) {
        agent.offered(capacity);
        if (capacity.slots() > 0) {
            agents.obtain(agent.address());
        }
        scheduler.agentChanged(agent);
        scheduler.capacity(agent, capacity, nowNanos);
    }
}
