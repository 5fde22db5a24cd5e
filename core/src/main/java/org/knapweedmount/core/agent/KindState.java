package org.knapweedmount.core.agent;

import java.util.concurrent.TimeUnit;

/** What is known of one kind of task at this agent: the slots it holds, its recent peak, and its usual run time. */
final class KindState {
    /** How long a peak counts, and how long a kind is active after its last task. */
    static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final double ESTIMATE_GAIN = 0.125;

    private final String name;
    private double estimateNanos;
    private int running;
    private int leased;
    private int peak;
    private int earlierPeak;
    private long windowStartNanos;
    private long lastActiveNanos;

    KindState(String name, long estimateNanos, long nowNanos) {
        this.name = name;
        this.estimateNanos = estimateNanos;
        this.windowStartNanos = nowNanos;
        this.lastActiveNanos = nowNanos;
    }

    String name() {
        return name;
    }

    void addRunning(int change) {
        running += change;
    }

    void addLeased(int change) {
        leased += change;
    }

    /** Counts the slots that run its tasks or are leased for them. */
    int held() {
        return running + leased;
    }

    /** Notes that there is demand or a task now. */
    void seen(long nowNanos) {
        roll(nowNanos);
        lastActiveNanos = nowNanos;
        peak = Math.max(peak, running);
    }

    /** Returns the most tasks that ran at a time during the last one to two windows. */
    int recentPeak(long nowNanos) {
        roll(nowNanos);
        return Math.max(peak, earlierPeak);
    }

    private void roll(long nowNanos) {
        long elapsed = nowNanos - windowStartNanos;
        if (elapsed < WINDOW_NANOS) {
            return;
        }
        earlierPeak = elapsed < 2 * WINDOW_NANOS ? peak : running;
        peak = running;
        windowStartNanos = nowNanos;
    }

    boolean active(long nowNanos) {
        return running + leased > 0 || nowNanos - lastActiveNanos < 2 * WINDOW_NANOS;
    }

    double estimateNanos() {
        return estimateNanos;
    }

    void observed(long runNanos) {
        estimateNanos += (runNanos - estimateNanos) * ESTIMATE_GAIN;
    }
}
