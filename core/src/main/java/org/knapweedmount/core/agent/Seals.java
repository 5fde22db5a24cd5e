package org.knapweedmount.core.agent;

import java.util.HashSet;
import java.util.Set;

import org.knapweedmount.api.SubmissionId;

/** The submissions of which no further task is started, up to a bound. */
final class Seals {
    private final int maxSeals;
    private final Set<SubmissionId> sealed = new HashSet<>();

    Seals(int maxSeals) {
        this.maxSeals = maxSeals;
    }

    /**
     * Seals a submission.
     *
     * @return false if there is no room to remember it
     */
    boolean seal(SubmissionId submission) {
        if (sealed.contains(submission)) {
            return true;
        }
        return sealed.size() < maxSeals && sealed.add(submission);
    }

    boolean contains(SubmissionId submission) {
        return sealed.contains(submission);
    }
}
