package org.knapweedmount.api.message;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskSpec;

/**
 * Asks an agent to start a task under a lease.
 *
 * <p>Sequence numbers of an entry's incarnation rise with each start sent to one agent, so that the agent recognises a
 * repeated start by its number alone. A start that was sent is never sent again to any agent unless this agent answers
 * that it did not start the task and never will.
 *
 * @param sequence the position among the starts that this entry has sent to this agent, from 1 up
 * @param lease the lease that is used up
 * @param task the task's id
 * @param service the service that the task is for
 * @param team the team that the task is charged to
 * @param spec the task
 * @param queued the number of tasks of the same flow still queued at the entry without a lease
 * @param oldestWaitMicros for how long the oldest of the queued tasks has waited, in microseconds
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
