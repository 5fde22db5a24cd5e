package org.knapweedmount.api.message;

import org.knapweedmount.api.Reason;
import org.knapweedmount.api.TaskId;

/**
 * Confirms that the agent did not start a task and never will under the sequence number that it came with.
 *
 * @param task the task's id
 * @param sequence the sequence number of the start, so that a repeated confirmation is not taken for that of a later one
 * @param reason why it was not started
 */
public record NotStarted(TaskId task, long sequence, Reason reason) implements Message {}
