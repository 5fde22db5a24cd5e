package org.knapweedmount.core.agent;

import java.util.LinkedHashMap;
import java.util.Map;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.SubmissionId;

/**
 * Per issuer, the highest sequence among the submissions whose records were discarded.
 *
 * <p>Of a submission without a record that is not above its issuer's horizon, it is not known whether something was
 * started. Beyond the bound, the issuer whose horizon was raised least recently is dropped; from then on, nothing is
 * known of submissions of issuers without a horizon.
 */
final class IssuerHorizons {
    static final int MAX_ISSUERS = 4_096;

    private final Map<Incarnation, Long> horizons = new LinkedHashMap<>();
    private boolean dropped;

    void discarded(SubmissionId submission) {
        Long before = horizons.remove(submission.issuer());
        long horizon = Math.max(submission.sequence(), before == null ? 0 : before);
        horizons.put(submission.issuer(), horizon);
        if (horizons.size() > MAX_ISSUERS) {
            horizons.remove(horizons.keySet().iterator().next());
            dropped = true;
        }
    }

    /** Tells whether no record of the submission can have been discarded. */
    boolean covers(SubmissionId submission) {
        Long horizon = horizons.get(submission.issuer());
        return horizon == null ? !dropped : submission.sequence() > horizon;
    }
}
