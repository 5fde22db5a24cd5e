package org.knapweedmount.core.dispatch;

/**
 * How recent the knowledge of the jobs of other entries has to be before a run of a job is ordered.
 *
 * @param ofLinkedNanos the time as of which the jobs of linked entries have to be known, in ns
 * @param ofCutOffNanos the time as of which the jobs of entries have to be known that are alive behind a cut, in ns
 * @param ofEndedNanos the time as of which the jobs of entries have to be known that only have runs left, in ns
 */
record RequiredKnowledge(long ofLinkedNanos, long ofCutOffNanos, long ofEndedNanos) {
    /**
     * Returns what a request requires that was read when it arrived. A linked entry that has admitted an earlier submission
     * of the job did so long enough before for older knowledge to show it.
     */
    static RequiredKnowledge ofRequest(long readNanos) {
        long earlierNanos = readNanos - DispatchTimings.MAX_KNOWLEDGE_AGE_NANOS;
        return new RequiredKnowledge(earlierNanos, readNanos, earlierNanos);
    }

    /** Returns what a request requires that may have been read late, so that a later submission may be admitted already. */
    static RequiredKnowledge ofLateRequest(long readNanos) {
        return new RequiredKnowledge(readNanos, readNanos, readNanos);
    }

    /**
     * Returns what the refusal of a request requires that says that its job has not run. Submissions before it were admitted
     * long enough before it was read; a later one can only have been admitted if it was submitted long ago.
     *
     * @param submittedNanos when it was submitted at the earliest, in ns
     */
    static RequiredKnowledge ofRefusal(long submittedNanos, long readNanos, long nowNanos) {
        boolean isOld = nowNanos - submittedNanos > DispatchTimings.MAX_KNOWLEDGE_AGE_NANOS;
        return isOld ? ofLateRequest(nowNanos) : ofRequest(readNanos);
    }

    /** Returns what a queued job requires when an entry becomes known that may have admitted it meanwhile. */
    static RequiredKnowledge ofQueuedJob(long nowNanos) {
        return new RequiredKnowledge(nowNanos, nowNanos, nowNanos - DispatchTimings.MAX_KNOWLEDGE_AGE_NANOS);
    }
}
