package org.knapweedmount.daemon.ticket;

/**
 * One line of an entry's own audit log.
 *
 * @param when the wall-clock time, in the form of ISO 8601
 * @param action what happened
 * @param number the ticket's number, 0 if it is not about a ticket
 * @param who the author of the ticket and the name of the token, as far as they are known
 * @param detail a sentence, empty if there is nothing to add
 */
public record AuditEvent(String when, AuditAction action, long number, String who, String detail) {}
