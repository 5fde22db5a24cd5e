package org.knapweedmount.api.message;

import java.util.Optional;

import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;

/**
 * What an agent knows of one task.
 *
 * @param task the task's id
 * @param state what became of it
 * @param result the result, present if it has finished and the result is still kept
 */
public record TaskReport(TaskId task, TaskState state, Optional<TaskResult> result) {}
