package org.knapweedmount.daemon.ticket;

import java.util.Locale;

/** What an entry notes in its own audit log. */
public enum AuditAction {
    /** An operator's ticket was accepted, now or before. */
    ACCEPTED,
    /** An operator's ticket was refused. */
    REFUSED,
    /** Whether an operator's ticket was accepted is not known. */
    UNKNOWN,
    /** A ticket was put in force at this entry. */
    APPLIED,
    /** An operator asked this entry to take no new work. */
    DRAIN,
    /** A request with no valid token came in on the operators' port. */
    UNAUTHORIZED;

    /**
     * Returns the word used in logs.
     *
     * @return for instance {@code accepted}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
