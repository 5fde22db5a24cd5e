package org.knapweedmount.core.entry;

/**
 * What bounds an entry's memory and waiting.
 *
 * @param maxQueuedTasks the number of tasks in all queues
 * @param maxQueuedBytes the total size of the bodies of queued tasks, in bytes
 * @param maxJobTasks the number of tasks of one job
 * @param maxEndedJobs the number of ended submissions whose answers are kept
 * @param maxEndedBytes the total size of the answers that are kept, in bytes
 * @param linkTimeoutMillis how long an agent may be silent before it gets no new work, in ms
 * @param lostTaskMillis how long the outcome of a task is awaited after its agent was lost, in ms
 * @param settleMillis how long the answers to seals are awaited, in ms
 * @param retryShare the share of requests, from 0 to 1, that retries may add
 */
public record EntryLimits(
        int maxQueuedTasks,
        int maxQueuedBytes,
        int maxJobTasks,
        int maxEndedJobs,
        int maxEndedBytes,
        int linkTimeoutMillis,
        int lostTaskMillis,
        int settleMillis,
        double retryShare) {
    /** Limits for an entry with a heap of some hundred megabytes. */
    public static final EntryLimits DEFAULT =
            new EntryLimits(50_000, 64_000_000, 1_000, 50_000, 64_000_000, 1_500, 5_000, 3_000, 0.1);
}
