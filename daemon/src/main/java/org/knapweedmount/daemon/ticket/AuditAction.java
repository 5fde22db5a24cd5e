package org.knapweedmount.daemon.ticket;

import java.util.Locale;

/** Actions that an entry records in its own audit log. */
public enum AuditAction {
    /** An operator's ticket was accepted, now or by an earlier request. */
    ACCEPTED,
    /** An operator's ticket was refused. */
    REFUSED,
    /** It is not known whether an operator's ticket was accepted. */
    UNKNOWN,
    /** A ticket was applied at this entry. */
    APPLIED,
    /** An operator asked this entry to drain. */
    DRAIN,
    /** A request without a valid token arrived on the operators' port. */
    UNAUTHORIZED;

    /**
     * Returns the name used in logs.
     *
     * @return for instance {@code accepted}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
