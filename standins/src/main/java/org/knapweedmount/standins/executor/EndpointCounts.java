package org.knapweedmount.standins.executor;

import org.knapweedmount.api.Resources;

/**
 * Counts the tasks of one endpoint and the resources that they use.
 *
 * <p>Not thread-safe.
 */
public final class EndpointCounts {
    private int running;
    private int peakRunning;
    private long started;
    private long completed;
    private long failed;
    private long stopped;
    private long duplicates;
    private Resources used = Resources.NONE;
    private Resources peakUsed = Resources.NONE;

    /** The outcome of a task. */
    public enum TaskOutcome {
        /** The response had a status below 400. */
        COMPLETED,
        /** The response had a status of 400 or above. */
        FAILED,
        /** The task was stopped by a request. */
        STOPPED
    }

    /**
     * A snapshot of the counts.
     *
     * @param running tasks that are running
     * @param peakRunning the largest number of tasks that ran concurrently
     * @param started tasks started
     * @param completed tasks that completed successfully
     * @param failed tasks that failed
     * @param stopped tasks that were stopped
     * @param duplicates starts of tasks that this process had already started
     * @param used the worker resources that the running tasks use
     * @param peakUsed the largest concurrent use, for each resource
     */
    public record Snapshot(
            int running,
            int peakRunning,
            long started,
            long completed,
            long failed,
            long stopped,
            long duplicates,
            Resources used,
            Resources peakUsed) {}

    /**
     * Records the start of a task.
     *
     * @param use the worker resources that the task uses
     * @param duplicate true if this process had already started the task
     */
    public void recordStart(Resources use, boolean duplicate) {
        started++;
        running++;
        peakRunning = Math.max(peakRunning, running);
        duplicates += duplicate ? 1 : 0;
        used = used.plus(use);
        peakUsed = peakUsed.max(used);
    }

    /**
     * Records the end of a task.
     *
     * @param use the worker resources that the task used
     * @param outcome the outcome of the task
     */
    public void recordEnd(Resources use, TaskOutcome outcome) {
        running--;
        used = used.minus(use);
        switch (outcome) {
            case COMPLETED -> completed++;
            case FAILED -> failed++;
            default -> stopped++;
        }
    }

    /**
     * Returns a snapshot of the counts.
     *
     * @return the current counts
     */
    public Snapshot snapshot() {
        return new Snapshot(running, peakRunning, started, completed, failed, stopped, duplicates, used, peakUsed);
    }
}
