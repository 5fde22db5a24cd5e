package org.knapweedmount.daemon.ticket;

/**
 * Where a ticket came from, for the audit trail.
 *
 * @param token the name of the token that the operator showed
 * @param entry the name of the entry that took the ticket
 * @param when the wall-clock time, in the form of ISO 8601
 */
public record TicketOrigin(String token, String entry, String when) {}
