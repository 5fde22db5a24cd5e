package org.knapweedmount.core.agent;

import java.util.concurrent.TimeUnit;

/** State of one kind of task at this agent: the slots that it holds, its recent usage, and its estimated run time. */
final class KindState {
    /** Time that a kind stays active after its last task, in ns. */
    static final long ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time constant of the moving average of running tasks: the weight of past usage falls to 1/e in it, in ns. */
    private static final double FADING_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final double ESTIMATE_GAIN = 0.125;

    private final String name;
    private double estimateNanos;
    private int running;
    private int leased;
    private double meanRunning;
    private long updatedNanos;
    private long lastActiveNanos;

    KindState(String name, long estimateNanos, long nowNanos) {
        this.name = name;
        this.estimateNanos = estimateNanos;
        this.updatedNanos = nowNanos;
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

    /** Returns the number of slots that run its tasks or are leased for them. */
    int held() {
        return running + leased;
    }

    /** Records activity of the kind; must be called before the number of running tasks changes. */
    void seen(long nowNanos) {
        advance(nowNanos);
        lastActiveNanos = nowNanos;
    }

    /**
     * Returns the number of slots that its tasks are expected to need concurrently, at least 1.
     *
     * <p>This is the moving average of its running tasks plus one standard deviation, which is the square root of the
     * average for independent arrivals. The recent peak would leave a third of the slots idle: a task that finds no
     * slot here is sent to another agent, so no agent has to provide for its own peak.
     */
    int recentNeed(long nowNanos) {
        advance(nowNanos);
        return Math.max(1, (int) Math.ceil(meanRunning + Math.sqrt(meanRunning)));
    }

    /** Updates the moving average; the number of running tasks has not changed since the last call. */
    private void advance(long nowNanos) {
        double kept = Math.exp((updatedNanos - nowNanos) / FADING_NANOS);
        meanRunning = meanRunning * kept + running * (1 - kept);
        updatedNanos = nowNanos;
    }

    boolean active(long nowNanos) {
        return running + leased > 0 || nowNanos - lastActiveNanos < ACTIVE_NANOS;
    }

    double estimateNanos() {
        return estimateNanos;
    }

    void observed(long runNanos) {
        estimateNanos += (runNanos - estimateNanos) * ESTIMATE_GAIN;
    }
}
