package org.knapweedmount.daemon.ticket;

/**
 * One event of an entry's own audit log.
 *
 * @param when the wall-clock time in ISO 8601 format
 * @param action the action
 * @param number the ticket's number, 0 if the event does not concern a ticket
 * @param who the author of the ticket and the name of the token, if known
 * @param detail an explanation, may be empty
 */
public record AuditEvent(String when, AuditAction action, long number, String who, String detail) {}
