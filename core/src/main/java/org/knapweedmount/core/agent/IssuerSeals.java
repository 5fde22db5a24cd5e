package org.knapweedmount.core.agent;

import java.util.NavigableSet;
import java.util.TreeSet;

/** The sealed submissions of one issuer: all sequence numbers up to a bound, and individual ones above it. */
final class IssuerSeals {
    private final TreeSet<Long> individual = new TreeSet<>();
    private long bound;
    private long highestIssued;

    boolean contains(long sequence) {
        return sequence <= bound || individual.contains(sequence);
    }

    void add(long sequence) {
        individual.add(sequence);
    }

    /** Records that the issuer is known to have issued a sequence number. */
    void issued(long sequence) {
        highestIssued = Math.max(highestIssued, sequence);
    }

    boolean neverSealed() {
        return bound == 0 && individual.isEmpty();
    }

    /**
     * Returns the number of individual seals that may be folded into the bound.
     *
     * @param onlyIssued whether to count only sequence numbers that are known to have been issued
     */
    int foldable(boolean onlyIssued) {
        return candidates(onlyIssued).size();
    }

    /**
     * Folds the lower half of the foldable seals, at least one, into the bound.
     *
     * @param onlyIssued whether to fold only sequence numbers that are known to have been issued
     * @return the number of seals that are no longer kept individually
     */
    int fold(boolean onlyIssued) {
        NavigableSet<Long> candidates = candidates(onlyIssued);
        int folded = (candidates.size() + 1) / 2;
        for (int i = 0; i < folded; i++) {
            bound = individual.pollFirst();
        }
        return folded;
    }

    private NavigableSet<Long> candidates(boolean onlyIssued) {
        return onlyIssued ? individual.headSet(highestIssued, true) : individual;
    }
}
