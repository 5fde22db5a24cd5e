package org.knapweedmount.core.agent;

import java.util.NavigableSet;
import java.util.TreeSet;

/** The sealed submissions of one issuer: all up to a bound, and single ones above it. */
final class IssuerSeals {
    private final TreeSet<Long> single = new TreeSet<>();
    private long bound;
    private long highestIssued;

    boolean contains(long sequence) {
        return sequence <= bound || single.contains(sequence);
    }

    void add(long sequence) {
        single.add(sequence);
    }

    /** Takes note that the issuer has issued a sequence number. */
    void issued(long sequence) {
        highestIssued = Math.max(highestIssued, sequence);
    }

    boolean neverSealed() {
        return bound == 0 && single.isEmpty();
    }

    /**
     * Counts the seals that a bound may replace.
     *
     * @param onlyIssued true if only those that are known to have been issued
     */
    int foldable(boolean onlyIssued) {
        return candidates(onlyIssued).size();
    }

    /**
     * Replaces the older half of the seals that a bound may replace, at least one, by the bound.
     *
     * @param onlyIssued true if only those that are known to have been issued
     * @return how many seals are no longer remembered one by one
     */
    int fold(boolean onlyIssued) {
        NavigableSet<Long> candidates = candidates(onlyIssued);
        int folded = (candidates.size() + 1) / 2;
        for (int i = 0; i < folded; i++) {
            bound = single.pollFirst();
        }
        return folded;
    }

    private NavigableSet<Long> candidates(boolean onlyIssued) {
        return onlyIssued ? single.headSet(highestIssued, true) : single;
    }
}
