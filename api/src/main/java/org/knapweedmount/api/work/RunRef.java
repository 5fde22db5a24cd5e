package org.knapweedmount.api.work;

/**
 * Identifies a run of a task.
 *
 * @param task the task's name, which contains the job's ID
 * @param run the number of the run, which increases with each start of the task
 */
public record RunRef(String task, int run) {}
