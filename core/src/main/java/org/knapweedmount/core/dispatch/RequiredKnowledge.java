package org.knapweedmount.core.dispatch;

/**
 * How recent the knowledge of the jobs of other entries has to be before a request is admitted.
 *
 * @param ofLinkedNanos the time as of which the jobs of linked entries, and of lost ones that have runs left, have to be
 *     known, in ns
 * @param ofCutOffNanos the time as of which the jobs of entries have to be known that are alive behind a cut, in ns
 */
record RequiredKnowledge(long ofLinkedNanos, long ofCutOffNanos) {
    /**
     * Returns what a request requires that was read when it arrived. A linked entry that has admitted an earlier submission
     * of the job did so long enough before for older knowledge to show it.
     */
    static RequiredKnowledge ofRequest(long readNanos) {
        return new RequiredKnowledge(readNanos - DispatchTimings.MAX_KNOWLEDGE_AGE_NANOS, readNanos);
    }

    /** Returns what a request requires that may have been read late, so that a later submission may be admitted already. */
    static RequiredKnowledge ofLateRequest(long readNanos) {
        return new RequiredKnowledge(readNanos, readNanos);
    }
}
