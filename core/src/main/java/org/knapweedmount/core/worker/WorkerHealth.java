package org.knapweedmount.core.worker;

/**
 * Sets a worker aside that fails what it starts or does not get on, and tries it again with one run at a time.
 *
 * <p>Load pattern: a sick worker ends runs early, so its room is always free and draws ever more runs; a few failures in a
 * row close it. Single failures among successes are ordinary and change nothing.
 */
final class WorkerHealth {
    /** Failures in a row that close the worker; at an ordinary failure rate of 0.2% this is one in 10^8 runs. */
    private static final int MAX_FAILURES = 3;

    /** The shortest and the longest time before a worker that was set aside is tried again, in ms. */
    private static final int MIN_PAUSE_MILLIS = 500;

    private static final int MAX_PAUSE_MILLIS = 4_000;

    private int failures;
    private int pauseMillis = MIN_PAUSE_MILLIS;
    private boolean aside;
    private long retryNanos;

    void succeeded() {
        failures = 0;
        aside = false;
        pauseMillis = MIN_PAUSE_MILLIS;
    }

    /** Takes note of a failed run; returns true if the worker is set aside by it. */
    boolean failed(long nowNanos) {
        failures++;
        if (!aside && failures < MAX_FAILURES) {
            return false;
        }
        return setAside(nowNanos);
    }

    /** Sets the worker aside at once; returns true if it was not before. */
    boolean setAside(long nowNanos) {
        boolean before = aside;
        aside = true;
        retryNanos = nowNanos + WorkerTimings.nanos(pauseMillis);
        pauseMillis = Math.min(MAX_PAUSE_MILLIS, 2 * pauseMillis);
        return !before;
    }

    /** Tells whether the worker takes another run. */
    boolean admits(int runs, long nowNanos) {
        boolean retry = runs == 0 && nowNanos - retryNanos >= 0;
        return !aside || retry;
    }

    boolean aside() {
        return aside;
    }
}
