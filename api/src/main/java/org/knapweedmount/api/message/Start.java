package org.knapweedmount.api.message;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskSpec;

/**
 * Asks an agent to start a task under a lease.
 *
 * <p>An incarnation of an entry increases the sequence number with each start that it sends to the agent, so that the
 * agent recognises a duplicate start by its number. A start is not sent again to any agent unless this agent has
 * answered that it did not start the task and never will.
 *
 * @param sequence the sequence number among the starts from this entry to this agent, from 1 up
 * @param lease the number of the lease that the start consumes
 * @param task the task's ID
 * @param service the name of the service that the task is for
 * @param team the team that the task is charged to
 * @param spec the task
 * @param queued the number of tasks of the same flow that are still queued at the entry without a lease
 * @param oldestWaitMicros the queue wait of the oldest of the queued tasks, in microseconds
 */
public record Start(
        long sequence,
        long lease,
        TaskId task,
        String service,
        String team,
        TaskSpec spec,
        int queued,
        long oldestWaitMicros)
        implements Message {
    /**
     * Returns the flow of the task.
     *
     * @return the flow
     */
    public Flow flow() {
        return new Flow(spec.kind(), team);
    }
}
