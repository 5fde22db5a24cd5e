package org.knapweedmount.api.message;

import org.knapweedmount.api.Resources;

/**
 * Tells an agent what an entry would start on its worker if there were room.
 *
 * @param queuedTasks the number of queued tasks, 0 to withdraw the demand
 * @param virtualDeadlineMicros how long the demand may be passed by newer ones of other entries, in microseconds
 * @param smallestTask the room that the smallest of the tasks needs
 * @param backlogCoreMillis the work queued at the entry, in milliseconds of a core
 */
public record ResourceDemand(
        int queuedTasks, long virtualDeadlineMicros, Resources smallestTask, long backlogCoreMillis)
        implements Message {
    /** Nothing is queued. */
    public static final ResourceDemand NONE = new ResourceDemand(0, 0, Resources.NONE, 0);
}
