package org.knapweedmount.core.worker;

import java.util.OptionalLong;

/**
 * Keeps one call for the worker's list under way and judges by lost ones whether the worker is silent.
 *
 * <p>Load pattern: some answers are lost on the way while the worker works as usual. A single lost list is asked for again
 * at once; only several in a row mean that the worker does not answer. As long as answers get lost, the worker waits for
 * a shorter time, because a lost list hides the ends of runs until it is given up.
 */
final class ListCalls {
    /** Lists in a row whose loss means that the worker is silent; at one lost call in twenty this is one list in 8,000. */
    private static final int MAX_LOST = 3;

    /** How long the worker waits for an end while answers get lost, in ms; a lookup may wait 60 ms. */
    private static final int LOSSY_WAIT_MILLIS = 20;

    /** How long after a lost list others are expected to get lost, in ms; faults of the platform last some seconds. */
    private static final long LOSSY_MILLIS = 2_000;

    /** The shortest time without an answer after which the worker is silent, in ms; a slow agent may take 100 ms a call. */
    private static final long SILENCE_MILLIS = 250;

    private OptionalLong underWay = OptionalLong.empty();
    private OptionalLong lostNanos = OptionalLong.empty();
    private int lost;
    private long answeredNanos;
    private boolean silent;

    /** Forgets the calls to an earlier life of the worker. */
    void reset(long nowNanos) {
        answeredNanos = nowNanos;
        underWay = OptionalLong.empty();
        lost = 0;
        lostNanos = OptionalLong.empty();
        silent = false;
    }

    boolean underWay() {
        return underWay.isPresent();
    }

    /** Takes note of the call that waits at the worker; calls beside it are not tracked. */
    void sent(long sentNanos) {
        underWay = OptionalLong.of(sentNanos);
    }

    /** Takes note that a call has ended, whichever way. */
    void ended(long sentNanos) {
        if (underWay.isPresent() && underWay.getAsLong() == sentNanos) {
            underWay = OptionalLong.empty();
        }
    }

    void answered(long nowNanos) {
        answeredNanos = nowNanos;
        lost = 0;
        silent = false;
    }

    /** Takes note of a lost call; returns true if the worker is silent from now on and was not before. */
    boolean lost(long nowNanos) {
        lost++;
        lostNanos = OptionalLong.of(nowNanos);
        boolean longAgo = nowNanos - answeredNanos >= WorkerTimings.nanos(SILENCE_MILLIS);
        return lost >= MAX_LOST && longAgo && silenced();
    }

    boolean isAskedAgainAtOnce() {
        return lost < MAX_LOST;
    }

    /** Takes note that the worker cannot be reached; returns true if it is silent from now on and was not before. */
    boolean silenced() {
        boolean before = silent;
        silent = true;
        return !before;
    }

    boolean silent() {
        return silent;
    }

    /** Returns how long the worker may wait for an end before it answers the next call, in ms. */
    int waitMillis(long nowNanos) {
        if (lost > 0 || silent) {
            return 0;
        }
        boolean lossy = lostNanos.isPresent() && nowNanos - lostNanos.getAsLong() < WorkerTimings.nanos(LOSSY_MILLIS);
        return lossy ? LOSSY_WAIT_MILLIS : WorkerTimings.LIST_WAIT_MILLIS;
    }
}
