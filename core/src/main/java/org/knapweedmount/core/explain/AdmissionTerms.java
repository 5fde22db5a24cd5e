package org.knapweedmount.core.explain;

import java.util.OptionalInt;

/**
 * The inputs of the admission of a job and its verdict.
 *
 * @param verdict what would be decided
 * @param aheadCoreMillis the work of all entries that is scheduled before the job, scaled to the share of its queue, in
 *     core-milliseconds
 * @param share the fraction of the cores that its queue can count on
 * @param ownCoreMillis the queued work of this entry, in core-milliseconds
 * @param elsewhereCoreMillis the queued work of the other entries, in core-milliseconds
 * @param cores the cores of the workers that accept starts
 * @param chainMillis the length of the critical path, in ms on a worker of median speed
 * @param retryAfterMillis after which time the caller of a refused job may retry, in ms; empty unless it is overloaded
 */
public record AdmissionTerms(
        AdmissionVerdict verdict,
        double aheadCoreMillis,
        double share,
        double ownCoreMillis,
        long elsewhereCoreMillis,
        double cores,
        double chainMillis,
        OptionalInt retryAfterMillis) {
    /**
     * Returns these terms with another verdict.
     *
     * @param other the verdict
     * @return the copy
     */
    public AdmissionTerms withVerdict(AdmissionVerdict other) {
        return new AdmissionTerms(
                other,
                aheadCoreMillis,
                share,
                ownCoreMillis,
                elsewhereCoreMillis,
                cores,
                chainMillis,
                retryAfterMillis);
    }
}
