package org.knapweedmount.api;

import java.util.List;
import java.util.Objects;

/**
 * A job as described by the caller; a single request to a service is a job of one task.
 *
 * @param team the name of the team that the job is charged to
 * @param atMostOnce true if the caller allows no task to run a second time, even of repeatable kinds
 * @param tasks the tasks, all of kinds of one service
 */
public record JobSpec(String team, boolean atMostOnce, List<TaskSpec> tasks) {
    /**
     * Copies the list of tasks and checks that it is not empty.
     *
     * @throws IllegalArgumentException if there is no task
     */
    public JobSpec {
        Objects.requireNonNull(team, "team");
        tasks = List.copyOf(tasks);
        if (tasks.isEmpty()) {
            throw new IllegalArgumentException("the job has no task, expected at least one");
        }
    }
}
