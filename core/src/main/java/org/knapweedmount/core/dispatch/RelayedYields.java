package org.knapweedmount.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.RelayedEnd;
import org.knapweedmount.api.message.RelayedYield;

/**
 * Requests to entries without a link to stop a job, by way of agents that are linked to them.
 *
 * <p>Each may be lost, late or doubled on its way: requests are repeated until they are answered, and an answer counts
 * only for the request whose number it has.
 */
final class RelayedYields {
    /** How many agents pass on one request. */
    private static final int MAX_RELAYS = 2;

    private final DispatchOutput output;
    private final LostEntries lostEntries;
    private final Map<String, Request> requests = new HashMap<>();
    private long lastNumber;

    private record Request(long number, long sentNanos) {}

    RelayedYields(DispatchOutput output, LostEntries lostEntries) {
        this.output = output;
        this.lostEntries = lostEntries;
    }

    /** Begins to ask the holders of a job. */
    void begin(String job, Set<Incarnation> holders, long nowNanos) {
        lastNumber++;
        send(job, holders, lastNumber, nowNanos);
    }

    /** Asks the holders of a job again if they have not answered for a while. */
    void repeat(String job, Set<Incarnation> holders, long nowNanos) {
        Request request = requests.get(job);
        if (request == null) {
            begin(job, holders, nowNanos);
        } else if (nowNanos - request.sentNanos() >= DispatchTimings.YIELD_REPEAT_INTERVAL_NANOS) {
            send(job, holders, request.number(), nowNanos);
        }
    }

    private void send(String job, Set<Incarnation> holders, long number, long nowNanos) {
        requests.put(job, new Request(number, nowNanos));
        for (Incarnation holder : holders) {
            lostEntries
                    .agentsLinkedTo(holder, MAX_RELAYS)
                    .forEach(agent -> output.send(agent, new RelayedYield(holder, job, number)));
        }
    }

    /** Returns whether an answer is that to the present request for its job. */
    boolean isCurrent(RelayedEnd end) {
        Request request = requests.get(end.job());
        return request != null && request.number() == end.number();
    }

    /** Forgets the request for a job. */
    void end(String job) {
        requests.remove(job);
    }
}
