package org.knapweedmount.core.worker;

import java.util.OptionalLong;

/**
 * Tracks the call for the run list that is in flight, and detects from lost calls that the worker is unresponsive.
 *
 * <p>Load pattern: some answers are lost in transit while the worker operates normally. A single lost list is requested
 * again at once; only several consecutive ones mean that the worker does not answer. While answers are being lost the
 * worker waits for a shorter time, because a lost list hides the ends of runs until it times out.
 */
final class RunListCalls {
    /** Consecutive lost lists that make the worker unresponsive; at one lost call in 20 this is one list in 8,000. */
    private static final int MAX_CONSECUTIVE_LOST = 3;

    /**
     * How long the worker waits for the end of a run while answers are being lost, in ms; short jobs may wait 60 ms.
     */
    private static final int LOSSY_WAIT_MILLIS = 20;

    /** How long after a lost list more losses are expected, in ms; platform faults last a few seconds. */
    private static final long LOSSY_PERIOD_MILLIS = 2_000;

    /**
     * The minimum time without an answer before the worker is unresponsive, in ms; a slow agent may need 100 ms a call.
     */
    private static final long MIN_UNRESPONSIVE_MILLIS = 250;

    private OptionalLong inFlightSentNanos = OptionalLong.empty();
    private OptionalLong lastLostNanos = OptionalLong.empty();
    private int consecutiveLost;
    private long lastSentNanos;
    private long lastAnswerNanos;
    private boolean unresponsive;

    /** Discards the state of calls to an earlier incarnation of the worker. */
    void reset(long nowNanos) {
        lastSentNanos = nowNanos;
        lastAnswerNanos = nowNanos;
        inFlightSentNanos = OptionalLong.empty();
        consecutiveLost = 0;
        lastLostNanos = OptionalLong.empty();
        unresponsive = false;
    }

    boolean inFlight() {
        return inFlightSentNanos.isPresent();
    }

    /** Records the call that waits at the worker; calls beside it are not tracked. */
    void sent(long sentNanos) {
        inFlightSentNanos = OptionalLong.of(sentNanos);
        lastSentNanos = sentNanos;
    }

    /** Returns whether no call was sent for so long that the clock of an idle worker has to be read. */
    boolean isIdle(long nowNanos) {
        return nowNanos - lastSentNanos > WorkerTimings.nanos(WorkerTimings.MAX_CLOCK_AGE_MILLIS);
    }

    /** Records the end of a call, successful or not. */
    void ended(long sentNanos) {
        if (inFlightSentNanos.isPresent() && inFlightSentNanos.getAsLong() == sentNanos) {
            inFlightSentNanos = OptionalLong.empty();
        }
    }

    void answered(long nowNanos) {
        lastAnswerNanos = nowNanos;
        consecutiveLost = 0;
        unresponsive = false;
    }

    /** Records a lost call; returns true if it makes the worker unresponsive. */
    boolean lost(long nowNanos) {
        consecutiveLost++;
        lastLostNanos = OptionalLong.of(nowNanos);
        boolean overdue = nowNanos - lastAnswerNanos >= WorkerTimings.nanos(MIN_UNRESPONSIVE_MILLIS);
        return consecutiveLost >= MAX_CONSECUTIVE_LOST && overdue && markUnresponsive();
    }

    boolean mayRetryAtOnce() {
        return consecutiveLost < MAX_CONSECUTIVE_LOST;
    }

    /** Records that the worker cannot be reached; returns true if it was responsive before. */
    boolean markUnresponsive() {
        boolean wasUnresponsive = unresponsive;
        unresponsive = true;
        return !wasUnresponsive;
    }

    boolean unresponsive() {
        return unresponsive;
    }

    /** Returns how long an idle worker may wait before it answers the open call, in ms; not at all after a lost list. */
    int openCallMillis() {
        return consecutiveLost > 0 ? 0 : LateOrders.OPEN_CALL_MILLIS;
    }

    /** Returns how long the worker may wait for the end of a run before it answers the next call, in ms. */
    int waitMillis(long nowNanos) {
        if (consecutiveLost > 0 || unresponsive) {
            return 0;
        }
        boolean lossy = lastLostNanos.isPresent()
                && nowNanos - lastLostNanos.getAsLong() < WorkerTimings.nanos(LOSSY_PERIOD_MILLIS);
        return lossy ? LOSSY_WAIT_MILLIS : WorkerTimings.LIST_WAIT_MILLIS;
    }
}
