package org.knapweedmount.api.message;

import java.util.Optional;

import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;

/**
 * Tells how a started task ended, and may hand the slot on to the same entry.
 *
 * @param task the task's id
 * @param runMicros how long the endpoint took, in microseconds
 * @param result the result
 * @param next a lease of the slot that became free, empty if it goes to nobody or to another entry
 */
public record Finished(TaskId task, long runMicros, TaskResult result, Optional<Grant> next) implements Message {}
