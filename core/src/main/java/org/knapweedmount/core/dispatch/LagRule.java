package org.knapweedmount.core.dispatch;

import java.util.Optional;

/**
 * Decides whether a request is refused because it has waited too long for the processor of this entry.
 *
 * <p>Load pattern: callers send more than the processor of an entry can handle, for seconds. A job whose target has become
 * out of reach while its request waited is refused before it costs the messages of its runs, which would delay the jobs of
 * the other callers; the wait of the requests thus stays below what their jobs can spare.
 */
final class LagRule {
    /** When the caller of a refused job may retry, in ms; by then the entry has refused what it was behind with. */
    private static final int RETRY_AFTER_MILLIS = 1_000;

    private LagRule() {}

    /**
     * Returns the answer to a request whose job can no longer meet its target, empty for any other.
     *
     * @param criticalPathMillis the length of the job's critical path, in ms
     */
    static Optional<JobResult> refusal(WaitingRequest read, double criticalPathMillis, long nowNanos) {
        long latestStartNanos = TrackedJob.latestStartNanos(read.request(), criticalPathMillis, read.readNanos());
        return nowNanos - latestStartNanos > 0
                ? Optional.of(JobResult.notRun("entry is behind", RETRY_AFTER_MILLIS))
                : Optional.empty();
    }
}
