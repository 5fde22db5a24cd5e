package org.knapweedmount.core.explain;

/** Whether a run may be ordered from a worker; the first reason against it, in the order in which they are checked. */
public enum CandidateVerdict {
    /** The run may be ordered there. */
    SUITABLE,
    /** The worker accepts no starts, or its agent is not linked. */
    CLOSED,
    /** The report of the agent is so old that nothing is ordered under it. */
    SILENT,
    /** The worker lacks the label that the task requires. */
    LABEL_MISSING,
    /** The free resources are too few. */
    NO_CAPACITY,
    /** The queue has more than its share, and the agent has to offer the resources. */
    OFFER_NEEDED,
    /** The queue has more than its share, and too little would be left free for the others. */
    NO_HEADROOM,
    /** The worker is so slow that the job would miss its target, which it could meet elsewhere. */
    TOO_SLOW
}
