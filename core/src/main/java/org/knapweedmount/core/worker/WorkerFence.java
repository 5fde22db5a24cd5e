package org.knapweedmount.core.worker;

import java.util.OptionalLong;

/**
 * The fencing token of the agent's orders. Once the worker has answered a list with the current token, no order with a
 * lower one can be executed any more.
 */
final class WorkerFence {
    private long token;
    private OptionalLong lastListNanos = OptionalLong.empty();
    private long raisedNanos;
    private boolean inPlace;
    private int raises;

    /** Raises the token to at least a minimum; until it is in place, orders with lower ones may be executed. */
    void raise(long minToken, long nowNanos) {
        token = Math.max(token + 1, minToken);
        raises = inPlace ? 1 : raises + 1;
        inPlace = false;
        // A list that was sent at the same time may still carry the lower token.
        boolean listSentNow = lastListNanos.isPresent() && lastListNanos.getAsLong() == nowNanos;
        raisedNanos = listSentNow ? nowNanos + 1 : nowNanos;
    }

    long token() {
        return token;
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
