package org.knapweedmount.core.worker;

/** What an agent did with an announcement of its worker. */
public enum AnnouncementOutcome {
    /** The announcement is the newest one and in force. */
    APPLIED(true),
    /** The announcement is an exact repetition of the newest one. */
    REPEATED(true),
    /** The announcement is older than the newest one, or another one with the same number, and changed nothing. */
    OUTDATED(false);

    private final boolean inForce;

    AnnouncementOutcome(boolean inForce) {
        this.inForce = inForce;
    }

    /**
     * Returns whether the announcement may be confirmed: what it says is in force.
     *
     * @return true if it is in force
     */
    public boolean inForce() {
        return inForce;
    }
}
