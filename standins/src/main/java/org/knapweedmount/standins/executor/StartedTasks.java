package org.knapweedmount.standins.executor;

import java.util.HashSet;
import java.util.Set;

/**
 * The IDs of all tasks that the executors of this process have started.
 *
 * <p>IDs are kept until the process ends, since a duplicate start may come at any later time. Not thread-safe.
 */
public final class StartedTasks {
    private final Set<String> started = new HashSet<>();

    /**
     * Adds the ID of a task that is being started.
     *
     * @param taskId the ID of the task
     * @return true if the task had not been started before
     */
    public boolean add(String taskId) {
        return started.add(taskId);
    }
}
