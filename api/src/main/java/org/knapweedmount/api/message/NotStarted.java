package org.knapweedmount.api.message;

import org.knapweedmount.api.Reason;
import org.knapweedmount.api.TaskId;

/**
 * Confirms that the agent did not start a task, and never will under the given sequence number.
 *
 * @param task the task's ID
 * @param sequence the sequence number of the start, by which a repeated confirmation is not mistaken for that of a
 *     later start
 * @param reason why the task was not started
 */
public record NotStarted(TaskId task, long sequence, Reason reason) implements Message {}
