package org.knapweedmount.daemon.link;

import java.util.Random;

/**
 * Exponential backoff with jitter between attempts to connect: pauses double up to a limit, and each is shortened at
 * random by up to a half.
 *
 * <p>Without the jitter, all processes that lose the same peer would reconnect to it at the same moment.
 */
final class Backoff {
    static final long MIN_MILLIS = 50;
    static final long MAX_MILLIS = 800; // the links to a restarted peer are back within a second
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

    /** Resets the pause to the shortest one, after a successful attempt. */
    void reset() {
        nextMillis = MIN_MILLIS;
    }

    /** Makes the next pause a long one, after a rejection that is unlikely to change soon. */
    void useLongPause() {
        nextMillis = LONG_PAUSE_MILLIS;
    }
}
