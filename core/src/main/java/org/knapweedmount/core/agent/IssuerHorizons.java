package org.knapweedmount.core.agent;

import java.util.LinkedHashMap;
import java.util.Map;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.SubmissionId;

/**
 * Tracks, per issuer, the highest sequence number among the submissions whose records were discarded.
 *
 * <p>For a submission without a record whose sequence number is not above its issuer's horizon, it is unknown whether a
 * task was started. When the number of issuers exceeds the limit, the least recently raised horizon is evicted; the
 * highest evicted horizon then applies to every issuer without a horizon of its own.
 */
final class IssuerHorizons {
    static final int MAX_ISSUERS = 4_096;

    private final int maxIssuers;
    private final Map<Incarnation, Long> horizons = new LinkedHashMap<>();
    private long highestEvicted;

    IssuerHorizons(int maxIssuers) {
        this.maxIssuers = maxIssuers;
    }

    void discarded(SubmissionId submission) {
        Long before = horizons.remove(submission.issuer());
        long horizon = Math.max(submission.sequence(), before == null ? highestEvicted : before);
        horizons.put(submission.issuer(), horizon);
        if (horizons.size() > maxIssuers) {
            Incarnation leastRecent = horizons.keySet().iterator().next();
            highestEvicted = Math.max(highestEvicted, horizons.remove(leastRecent));
        }
    }

    /** Returns whether no record of the submission can have been discarded. */
    boolean isAboveHorizon(SubmissionId submission) {
        return submission.sequence() > horizons.getOrDefault(submission.issuer(), highestEvicted);
    }
}
