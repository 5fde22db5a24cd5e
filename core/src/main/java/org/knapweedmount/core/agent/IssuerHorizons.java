package org.knapweedmount.core.agent;

import java.util.LinkedHashMap;
import java.util.Map;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.SubmissionId;

/**
 * Per issuer, the highest sequence among the submissions whose records were discarded.
 *
 * <p>Of a submission without a record that is not above its issuer's horizon, it is not known whether something was
 * started. Beyond the bound, the horizon that was raised least recently is dropped; from then on, the highest dropped
 * one holds for every issuer without a horizon of its own.
 */
final class IssuerHorizons {
    static final int MAX_ISSUERS = 4_096;

    private final int maxIssuers;
    private final Map<Incarnation, Long> horizons = new LinkedHashMap<>();
    private long highestDropped;

    IssuerHorizons(int maxIssuers) {
        this.maxIssuers = maxIssuers;
    }

    void discarded(SubmissionId submission) {
        Long before = horizons.remove(submission.issuer());
        long horizon = Math.max(submission.sequence(), before == null ? highestDropped : before);
        horizons.put(submission.issuer(), horizon);
        if (horizons.size() > maxIssuers) {
            Incarnation least = horizons.keySet().iterator().next();
            highestDropped = Math.max(highestDropped, horizons.remove(least));
        }
    }

    /** Tells whether no record of the submission can have been discarded. */
    boolean covers(SubmissionId submission) {
        return submission.sequence() > horizons.getOrDefault(submission.issuer(), highestDropped);
    }
}
