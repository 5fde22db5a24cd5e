package org.knapweedmount.api.message;

import java.util.Optional;

import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;

/**
 * The state of a task according to the records of an agent.
 *
 * @param task the task's ID
 * @param state the state of the task
 * @param result the result, present if the task has finished and its result has not been evicted
 */
public record TaskReport(TaskId task, TaskState state, Optional<TaskResult> result) {}
