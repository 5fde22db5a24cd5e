package org.knapweedmount.core.dispatch;

/** What an entry knows of the other entries that order runs from the same agents. */
final class CompetingEntries implements TaskPlacer.OtherEntries {
    private final HeldRequests heldRequests;
    private final JobOwnership ownership;

    CompetingEntries(HeldRequests heldRequests, JobOwnership ownership) {
        this.heldRequests = heldRequests;
        this.ownership = ownership;
    }

    @Override
    public boolean holdBack(String job, long nowNanos) {
        return heldRequests.isHolding(nowNanos) || ownership.isHeldElsewhere(job);
    }

    @Override
    public int count() {
        return ownership.peers().size();
    }
}
