package org.knapweedmount.core.worker;

import java.util.OptionalLong;

/**
 * Tracks whether the worker may still execute an unanswered order late, and the list call that is open meanwhile.
 *
 * <p>Load pattern: an order is left unanswered, its worker restarts under its ID while its announcements are lost, and the
 * order reaches the new incarnation, which has not seen any fencing token. A list call that is open at an idle worker
 * breaks with the worker's process, so the agent learns of the new incarnation within a tick.
 */
final class LateOrders {
    /** How long after an order without an answer the worker may execute it, in ms; bounded by the platform. */
    static final int MAX_LATE_MILLIS = 12_000;

    /** How long an idle worker waits before it answers the open list call, in ms; the longest wait it accepts. */
    static final int OPEN_CALL_MILLIS = 2_000;

    private long possibleUntilNanos;
    private OptionalLong openCallSentNanos = OptionalLong.empty();

    /**
     * Begins with an agent whose predecessor may have left orders unanswered.
     *
     * @param startNanos when the agent's process started, in ns
     */
    LateOrders(long startNanos) {
        unanswered(startNanos);
    }

    /** Records an order without an answer. */
    void unanswered(long nowNanos) {
        possibleUntilNanos = nowNanos + WorkerTimings.nanos(MAX_LATE_MILLIS);
    }

    /** Returns whether an order may still be executed late. */
    boolean possible(long nowNanos) {
        return possibleUntilNanos - nowNanos > 0;
    }

    /** Returns whether a list call has to be opened at an idle worker. */
    boolean callDue(long nowNanos) {
        return possible(nowNanos) && openCallSentNanos.isEmpty();
    }

    void callOpened(long sentNanos) {
        openCallSentNanos = OptionalLong.of(sentNanos);
    }

    /** Records the end of a list call, successful or not, which may be another one than the open call. */
    void callEnded(long sentNanos) {
        if (openCallSentNanos.isPresent() && openCallSentNanos.getAsLong() == sentNanos) {
            openCallSentNanos = OptionalLong.empty();
        }
    }

    /** Discards the open call, which was to an earlier incarnation of the worker. */
    void reset() {
        openCallSentNanos = OptionalLong.empty();
    }
}
