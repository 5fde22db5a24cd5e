package org.knapweedmount.api.message;

import org.knapweedmount.api.Reason;
import org.knapweedmount.api.TaskId;

/**
 * Confirms that the agent did not start a task and never will under the sequence number that it came with.
 *
 * @param task the task's id
 * @param reason why it was not started
 */
public record NotStarted(TaskId task, Reason reason) implements Message {}
