package org.knapweedmount.core.dispatch;

/** Why a request waits before its job is admitted. */
public enum WaitReason {
    /** The entry stood still, and the caller may have left meanwhile. */
    STALL(true),
    /** The entry has just started, and the jobs of other entries are not known yet. */
    START(true),
    /** Runs of an earlier submission to this entry have not ended. */
    EARLIER_RUNS(false),
    /** An entry with a link to this one holds the job, or its jobs are not known as recently as they have to be. */
    LINKED_ENTRY(false),
    /** An entry without a link to this one holds the job or may hold it. */
    UNLINKED_ENTRY(false);

    private final boolean holdsAllRequests;

    WaitReason(boolean holdsAllRequests) {
        this.holdsAllRequests = holdsAllRequests;
    }

    /** Returns whether each request waits that is read meanwhile, whatever its job is. */
    boolean holdsAllRequests() {
        return holdsAllRequests;
    }
}
