package org.knapweedmount.core.entry;

import java.util.LinkedHashSet;
import java.util.Set;

/** Which agents are asked for leases for the queued tasks of one flow. */
final class FlowAsk {
    private final Set<AgentService> asked = new LinkedHashSet<>();
    private final Set<AgentService> outdated = new LinkedHashSet<>();
    private int announcedSize;
    private boolean emptied;
    private long emptiedNanos;

    /** Tells whether all agents of the service are asked. */
    boolean everywhere() {
        return announcedSize > 0;
    }

    /** The length of the queue when all agents were asked last. */
    int announcedSize() {
        return announcedSize;
    }

    void announced(int size) {
        announcedSize = size;
    }

    /** The agents that are asked as long as not all of them are. */
    Set<AgentService> asked() {
        return asked;
    }

    /** The agents that have been told by a start that the queue is empty. */
    Set<AgentService> outdated() {
        return outdated;
    }

    /** Notes that the queue is empty, and returns whether it was not before. */
    boolean empty(long nowNanos) {
        boolean first = !emptied;
        emptied = true;
        emptiedNanos = nowNanos;
        return first;
    }

    void refilled() {
        emptied = false;
    }

    boolean emptied() {
        return emptied;
    }

    boolean emptyFor(long nowNanos, long nanos) {
        return emptied && nowNanos - emptiedNanos >= nanos;
    }
}
