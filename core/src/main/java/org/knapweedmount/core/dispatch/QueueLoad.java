package org.knapweedmount.core.dispatch;

/**
 * The jobs of a queue that an entry holds, kept up to date by the jobs themselves.
 *
 * <p>Load pattern: while jobs are queued, each report of a worker leads to a look at the shares of all queues, at some
 * hundred a second. Summed over all jobs each time, that took most of the processor time of an overloaded entry.
 */
final class QueueLoad {
    private int unansweredJobs;
    private int queuedTasks;
    private long runningMilliCores;
    private double queuedCoreMillis;

    void jobAdded() {
        unansweredJobs++;
    }

    /** Removes a job that was answered, with what still runs of it. */
    void jobAnswered(int itsRunningMilliCores) {
        unansweredJobs--;
        runningMilliCores -= itsRunningMilliCores;
    }

    void runningChanged(int milliCores) {
        runningMilliCores += milliCores;
    }

    void queuedTasksChanged(int tasks) {
        queuedTasks += tasks;
    }

    /** Changes the work of the tasks that are queued or wait for earlier steps, in core-milliseconds. */
    void queuedWorkChanged(double coreMillis) {
        // Sums of fractions are not exact, so that a rest may be left after the last task.
        queuedCoreMillis = Math.max(0, queuedCoreMillis + coreMillis);
    }

    boolean hasUnansweredJobs() {
        return unansweredJobs > 0;
    }

    boolean hasQueuedTasks() {
        return queuedTasks > 0;
    }

    /** Returns the cores of the running tasks of unanswered jobs. */
    double runningCores() {
        return runningMilliCores / 1_000.0;
    }

    double queuedCoreMillis() {
        return queuedCoreMillis;
    }
}
