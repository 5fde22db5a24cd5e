package org.knapweedmount.standins.executor;

import java.util.HashSet;
import java.util.Set;

/**
 * The ids of all tasks that the executors of this process have started.
 *
 * <p>It keeps every id for the life of the process, since a duplicate may come after any time. Used by one thread.
 */
public final class StartedTasks {
    private final Set<String> started = new HashSet<>();

    /**
     * Notes a start.
     *
     * @param taskId the task's id
     * @return true if the task was not started before
     */
    public boolean add(String taskId) {
        return started.add(taskId);
    }
}
