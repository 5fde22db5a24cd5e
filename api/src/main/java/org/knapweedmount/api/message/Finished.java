package org.knapweedmount.api.message;

import java.util.Optional;

import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;

/**
 * Reports how a started task ended, and may lease its slot to the same entry again.
 *
 * @param task the task's ID
 * @param runMicros the run time of the task at the endpoint, in microseconds
 * @param result the result
 * @param next a lease of the slot that became free, empty if it is not leased or is leased to another entry
 */
public record Finished(TaskId task, long runMicros, TaskResult result, Optional<Grant> next) implements Message {}
