package org.knapweedmount.core.dispatch;

import java.util.Optional;

/**
 * Decides whether a job is refused for the number of its tasks, before any of them is set up.
 *
 * <p>Load pattern: callers submit jobs of so many tasks that one of them, or all together, fill the heap of the entry. A
 * task takes memory whatever it is said to run for, so the estimated work does not bound it.
 */
final class JobSizeRule {
    /** When the caller of a refused job may retry, in ms; by then jobs that this entry holds have ended. */
    private static final int RETRY_AFTER_MILLIS = 1_000;

    private JobSizeRule() {}

    /**
     * Returns the answer to a job that is not queued for its size, empty for any other.
     *
     * @param request the job
     * @param heldTasks the number of tasks of all jobs that this entry holds
     * @param settings the limits
     */
    static Optional<JobResult> refusal(JobRequest request, long heldTasks, DispatchSettings settings) {
        long tasks = request.taskCount();
        if (tasks > settings.maxJobTasks()) {
            String reason = "the job has " + tasks + " tasks, the limit is " + settings.maxJobTasks();
            return Optional.of(JobResult.failed(reason));
        }
        if (heldTasks + tasks > settings.maxHeldTasks()) {
            return Optional.of(JobResult.notRun("the entry holds " + heldTasks + " tasks", RETRY_AFTER_MILLIS));
        }
        return Optional.empty();
    }
}
