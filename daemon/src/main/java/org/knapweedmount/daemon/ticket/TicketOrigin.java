package org.knapweedmount.daemon.ticket;

/**
 * The origin of a ticket, for the audit trail.
 *
 * @param token the name of the token that the operator presented
 * @param entry the name of the entry that received the ticket
 * @param when the wall-clock time in ISO 8601 format
 */
public record TicketOrigin(String token, String entry, String when) {}
