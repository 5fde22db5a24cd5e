package org.knapweedmount.standins.executor;

import org.knapweedmount.api.Resources;

/**
 * Counts what one endpoint did.
 *
 * <p>Used by one thread.
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

    /** How a task ended. */
    public enum TaskOutcome {
        /** It was answered with a status below 400. */
        COMPLETED,
        /** It was answered with another status. */
        FAILED,
        /** It was stopped by a request. */
        STOPPED
    }

    /**
     * The counts at one moment.
     *
     * @param running tasks that run
     * @param peakRunning the most tasks that ran at once
     * @param started tasks started
     * @param completed tasks that ended well
     * @param failed tasks that failed
     * @param stopped tasks that were stopped
     * @param duplicates starts of a task that this process had started before
     * @param used what the running tasks take of a worker
     * @param peakUsed the most that was taken at once, of each resource
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
     * Counts a start.
     *
     * @param use what the task takes of a worker
     * @param duplicate true if the task was started before
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
     * Counts the end of a task.
     *
     * @param use what the task took of a worker
     * @param outcome how it ended
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
     * Returns the counts.
     *
     * @return the counts at this moment
     */
    public Snapshot snapshot() {
        return new Snapshot(running, peakRunning, started, completed, failed, stopped, duplicates, used, peakUsed);
    }
}
