package org.knapweedmount.core.worker.health;

/** The evidence on which a worker was closed. */
public enum ClosingReason {
    /** Several consecutive runs have failed; the success of a run that was ordered before refutes it. */
    FAILURES("failures", true),
    /** A run makes no progress; other runs may end well all the same. */
    STALL("stalled", false),
    /** The worker refuses starts because it is unhealthy; runs that it has started before may end well. */
    REFUSAL("unhealthy", false);

    private final String label;
    private final boolean refutedByEarlierRuns;

    ClosingReason(String label, boolean refutedByEarlierRuns) {
        this.label = label;
        this.refutedByEarlierRuns = refutedByEarlierRuns;
    }

    /**
     * Returns the name of the reason in the log.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /** Returns whether the success of a run that was ordered before the closing reopens the worker. */
    boolean refutedByEarlierRuns() {
        return refutedByEarlierRuns;
    }
}
