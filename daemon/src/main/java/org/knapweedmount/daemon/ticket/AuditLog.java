package org.knapweedmount.daemon.ticket;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Supplier;

import org.tinylog.Logger;
import org.tinylog.TaggedLogger;

/**
 * The audit log of this entry; the latest events are kept in memory, and all are logged under the tag {@code audit}.
 *
 * <p>The durable audit trail is in the table service; this log adds refusals, unauthorized requests and the time
 * at which each ticket was applied here. Thread-safe.
 */
public final class AuditLog {
    private static final TaggedLogger LOGGER = Logger.tag("audit");

    private final int maxEvents;
    private final Supplier<String> wallClock;
    private final Deque<AuditEvent> events = new ArrayDeque<>();

    /**
     * Creates an empty log.
     *
     * @param maxEvents the maximum number of events kept in memory
     * @param wallClock returns the current time in ISO 8601 format
     */
    public AuditLog(int maxEvents, Supplier<String> wallClock) {
        this.maxEvents = maxEvents;
        this.wallClock = wallClock;
    }

    /**
     * Adds an event.
     *
     * @param action the action
     * @param number the ticket's number, 0 if the event does not concern a ticket
     * @param who the author of the ticket and the name of the token, if known
     * @param detail an explanation, may be empty
     */
    public synchronized void add(AuditAction action, long number, String who, String detail) {
        AuditEvent event = new AuditEvent(wallClock.get(), action, number, who, detail);
        if (events.size() >= maxEvents) {
            events.removeFirst();
        }
        events.addLast(event);
        LOGGER.info("action={} number={} who=\"{}\" detail=\"{}\"", action.text(), number, who, detail);
    }

    /**
     * Lists the latest events.
     *
     * @param limit the maximum number of events
     * @return the events, the latest first
     */
    public synchronized List<AuditEvent> latest(int limit) {
        List<AuditEvent> latest = new ArrayList<>();
        Iterator<AuditEvent> backwards = events.descendingIterator();
        while (backwards.hasNext() && latest.size() < limit) {
            latest.add(backwards.next());
        }
        return latest;
    }
}
