package org.knapweedmount.core.entry;

/**
 * The limits of an entry's memory and waiting.
 *
 * @param maxQueuedTasks the maximum number of tasks in all queues
 * @param maxQueuedBytes the maximum total size of the bodies of queued tasks, in bytes
 * @param maxJobTasks the maximum number of tasks of one job
 * @param maxEndedJobs the maximum number of ended submissions whose answers are kept
 * @param maxEndedBytes the maximum total size of the answers that are kept, in bytes
 * @param linkTimeoutMillis the time without a message after which an agent gets no new work, in ms
 * @param lostTaskMillis the time to wait for the outcome of a task after the link to its agent was lost, in ms
 * @param settleMillis the time to wait for the answers to seals, in ms
 * @param retryShare the maximum number of retries as a share of the requests, from 0 to 1
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
    /** Limits for an entry with a heap of a few hundred megabytes. */
    public static final EntryLimits DEFAULT =
            new EntryLimits(50_000, 64_000_000, 1_000, 50_000, 64_000_000, 1_500, 5_000, 3_000, 0.1);
}
