package org.knapweedmount.core.agent;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/**
 * Decides for one agent: whom free slots go to, which starts are accepted, and what is remembered of them.
 *
 * <p>Used by one thread. Times are of a monotonic clock, in nanoseconds.
 */
public final class AgentCore {
    /**
     * Creates the decisions of an agent without endpoints or links.
     *
     * @param limits what bounds memory and waiting
     * @param self the agent's own address
     * @param config the configuration in force, changed by the owner before {@link #configChanged}
     * @param output carries out what is decided
     * @param counters what is counted
     * @param invariants checks of the program itself
     */
    public AgentCore(
            AgentLimits limits,
            PeerAddress self,
            ConfigState config,
            AgentOutput output,
            Counters<AgentCounter> counters,
            Invariants invariants) {
        throw new UnsupportedOperationException("not yet written");
    }

    /**
     * Takes a new or repeated announcement of an endpoint.
     *
     * @param endpoint the announcement
     * @param nowNanos the present time
     */
    public void endpointAnnounced(EndpointAnnouncement endpoint, long nowNanos) {}

    /**
     * Stops giving work to an endpoint that is leaving; running tasks go on.
     *
     * @param id the endpoint's id
     * @param nowNanos the present time
     */
    public void endpointLeft(String id, long nowNanos) {}

    /**
     * Takes a worker's report of what the running tasks of one kind really use.
     *
     * @param id the endpoint's id
     * @param kind the kind of the tasks
     * @param usedPerTask what one task used at its peak
     * @param nowNanos the present time
     */
    public void usageReported(String id, String kind, Resources usedPerTask, long nowNanos) {}

    /**
     * Takes a new link to an entry, after both sides have said hello.
     *
     * @param entry the entry
     * @param nowNanos the present time
     */
    public void linked(PeerAddress entry, long nowNanos) {}

    /**
     * Takes the loss of a link.
     *
     * @param entry the entry that was linked
     * @param nowNanos the present time
     */
    public void unlinked(Incarnation entry, long nowNanos) {}

    /**
     * Takes a message from a linked entry.
     *
     * @param from the entry
     * @param message the message
     * @param nowNanos the present time
     */
    public void receive(Incarnation from, Message message, long nowNanos) {}

    /**
     * Takes the end of a task that was sent to an endpoint.
     *
     * <p>A result whose outcome is not-run says that the endpoint was never sent the task, for instance because it
     * refused the connection.
     *
     * @param task the task's id
     * @param result how it ended
     * @param nowNanos the present time
     */
    public void taskEnded(TaskId task, TaskResult result, long nowNanos) {}

    /**
     * Takes note that the owner has changed the configuration.
     *
     * @param nowNanos the present time
     */
    public void configChanged(long nowNanos) {}

    /**
     * Does what is due by now: expires announcements, leases of silent entries and pauses.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {}

    /**
     * Stops taking new tasks for good; running tasks go on.
     *
     * @param nowNanos the present time
     */
    public void drain(long nowNanos) {}

    /**
     * Tells whether nothing runs any more.
     *
     * @return true if no task is running
     */
    public boolean idle() {
        return true;
    }
}
