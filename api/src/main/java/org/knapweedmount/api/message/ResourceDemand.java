package org.knapweedmount.api.message;

import org.knapweedmount.api.Resources;

/**
 * Reports to an agent the tasks that an entry would start on its worker if resources were free.
 *
 * <p>Agents serve the demand with the earliest virtual deadline first, so that a demand is overtaken by newer demands
 * of other entries only until its deadline.
 *
 * @param queuedTasks the number of queued tasks, 0 to withdraw the demand
 * @param virtualDeadlineMicros the virtual deadline relative to the time of receipt, in microseconds
 * @param smallestTask the resources that the smallest of the tasks needs
 * @param backlogCoreMillis the work queued at the entry, in milliseconds of one core
 */
public record ResourceDemand(
        int queuedTasks, long virtualDeadlineMicros, Resources smallestTask, long backlogCoreMillis)
        implements Message {
    /** The demand of an entry that has no queued tasks. */
    public static final ResourceDemand NONE = new ResourceDemand(0, 0, Resources.NONE, 0);
}
