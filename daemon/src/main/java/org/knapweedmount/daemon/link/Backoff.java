package org.knapweedmount.daemon.link;

import java.util.Random;

/**
 * The pauses between attempts to connect: they double up to a limit, and each is shortened at random by up to a half.
 *
 * <p>The random part keeps the many processes that lose a peer at the same moment from coming back at the same moment.
 */
final class Backoff {
    static final long MIN_MILLIS = 50;
    static final long MAX_MILLIS = 800; // a peer that returns has its links back within a second
    static final long LONG_PAUSE_MILLIS = 5_000;

    private final Random random;
    private long nextMillis = MIN_MILLIS;

    Backoff(Random random) {
        this.random = random;
    }

    /** Returns the pause before the next attempt, in ms. */
    long nextPauseMillis() {
        long fullMillis = nextMillis;
        nextMillis = Math.min(MAX_MILLIS, 2 * nextMillis);
        return fullMillis - random.nextInt((int) (fullMillis / 2));
    }

    /** Starts again with the shortest pause, after an attempt that succeeded. */
    void reset() {
        nextMillis = MIN_MILLIS;
    }

    /** Makes the next pause a long one, after an answer that is not likely to change soon. */
    void useLongPause() {
        nextMillis = LONG_PAUSE_MILLIS;
    }
}
