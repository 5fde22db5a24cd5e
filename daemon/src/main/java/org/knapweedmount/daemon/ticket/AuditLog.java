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
 * What operators did at this entry, in memory and in the log under a tag of its own.
 *
 * <p>The trail that lasts is in the table service; this log adds refusals and when each ticket came in force here. Any
 * thread may use it.
 */
public final class AuditLog {
    private static final TaggedLogger LOGGER = Logger.tag("audit");

    private final int maxEvents;
    private final Supplier<String> wallClock;
    private final Deque<AuditEvent> events = new ArrayDeque<>();

    /**
     * Creates an empty log.
     *
     * @param maxEvents the number of events that are kept in memory
     * @param wallClock gives the present time in the form of ISO 8601
     */
    public AuditLog(int maxEvents, Supplier<String> wallClock) {
        this.maxEvents = maxEvents;
        this.wallClock = wallClock;
    }

    /**
     * Adds an event.
     *
     * @param action what happened
     * @param number the ticket's number, 0 if it is not about a ticket
     * @param who the author of the ticket and the name of the token, as far as they are known
     * @param detail a sentence, empty if there is nothing to add
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
     * @param limit the greatest number of events
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
