package org.knapweedmount.core.worker;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The fencing tokens of the agent's orders. Once the worker has answered a list with the current token, no order with a
 * lower one can be executed any more.
 *
 * <p>A token is the time of day at which the agent's process started, carried on by its monotonic clock, and at least the
 * birth of the worker. So it rises from one agent to the next, and from one incarnation of a worker to the next, without
 * being stored. Where the worker has seen a higher one all the same, because the time of day was set back, each refusal
 * multiplies the lead of the token over the time, so that any token is reached within some calls. The lead that one agent
 * has found is enough for the next one, as time has passed meanwhile; it belongs to one worker, named by its ID.
 */
final class WorkerFence {
    /** The greatest token: the greatest whole number that every JSON decoder reads exactly. */
    static final long MAX_TOKEN = (1L << 53) - 1;

    private static final long FIRST_LEAD_MILLIS = 1L << 16;
    private static final int LEAD_FACTOR = 4;

    /** How many earlier workers are remembered; their runs end within seconds. */
    private static final int MAX_EARLIER_WORKERS = 16;

    private final Map<String, Long> earlierTokens = new LinkedHashMap<>();
    private String workerId = "";
    private long token;
    private long leadMillis;
    private OptionalLong lastListNanos = OptionalLong.empty();
    private long raisedNanos;
    private boolean inPlace;
    private int raises;

    /**
     * Begins with an incarnation of a worker. Within one ID the token rises above that of the earlier incarnation, whose
     * orders may still be executed late.
     *
     * @param id the worker's ID
     * @param timeMillis the time from which tokens are taken, at least the birth of the incarnation, in ms
     */
    void begin(String id, long timeMillis, long nowNanos) {
        if (!id.equals(workerId)) {
            earlierTokens.put(workerId, token);
            if (earlierTokens.size() > MAX_EARLIER_WORKERS) {
                earlierTokens.remove(earlierTokens.keySet().iterator().next());
            }
            token = earlierTokens.getOrDefault(id, 0L);
            workerId = id;
            leadMillis = 0;
            raises = 0;
        }
        raise(timeMillis, nowNanos);
    }

    /** Raises the token; until it is in place, orders with lower ones may be executed. */
    void raise(long timeMillis, long nowNanos) {
        token = Math.min(MAX_TOKEN, Math.max(token + 1, timeMillis + leadMillis));
        raises = inPlace ? 1 : raises + 1;
        suspect(nowNanos);
    }

    /** Raises the token after the worker has refused a list that carried it. */
    void raiseAfterRefusal(long timeMillis, long nowNanos) {
        leadMillis = leadMillis == 0 ? FIRST_LEAD_MILLIS : Math.min(MAX_TOKEN, LEAD_FACTOR * leadMillis);
        raise(timeMillis, nowNanos);
    }

    /** Records that the worker may have seen a higher token; a list that is sent from now on shows it. */
    void suspect(long nowNanos) {
        inPlace = false;
        // A list that was sent at the same time may still carry the lower token.
        boolean listSentNow = lastListNanos.isPresent() && lastListNanos.getAsLong() == nowNanos;
        raisedNanos = listSentNow ? nowNanos + 1 : nowNanos;
    }

    /** Returns the token of orders to the current worker. */
    long token() {
        return token;
    }

    /** Returns the token of orders to a worker, which may be an earlier one. */
    long token(WorkerIncarnation worker) {
        return worker.id().equals(workerId) ? token : earlierTokens.getOrDefault(worker.id(), token);
    }

    /** Returns how often the token has been raised since an earlier one was in place. */
    int raises() {
        return raises;
    }

    /** Returns the token for a list that is sent now. */
    long tokenForList(long nowNanos) {
        lastListNanos = OptionalLong.of(nowNanos);
        return token;
    }

    /** Returns whether a list that was sent at a time carried the current token. */
    boolean covers(long listSentNanos) {
        return listSentNanos - raisedNanos >= 0;
    }

    /** Records that the worker has answered a list with the current token; returns true for the first one. */
    boolean confirm() {
        boolean first = !inPlace;
        inPlace = true;
        return first;
    }

    /** Returns whether no order with a lower token can be executed. */
    boolean inPlace() {
        return inPlace;
    }
}
