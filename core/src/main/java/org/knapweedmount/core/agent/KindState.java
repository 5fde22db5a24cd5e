package org.knapweedmount.core.agent;

import java.util.concurrent.TimeUnit;

/** State of one kind of task at this agent: the slots that it holds, its recent usage, and its estimated run time. */
final class KindState {
    /** Time that a kind stays active after its last task, in ns. */
    static final long ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time constant of the moving average of running tasks: past usage decays to 1/e in this time, in ns. */
    private static final double AVERAGE_TIME_CONSTANT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final double RUN_TIME_ESTIMATE_GAIN = 0.125;

    private final String name;
    private double estimatedRunNanos;
    private int running;
    private int leased;
    private double averageRunning;
    private long updatedNanos;
    private long lastActiveNanos;

    KindState(String name, long estimatedRunNanos, long nowNanos) {
        this.name = name;
        this.estimatedRunNanos = estimatedRunNanos;
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
    void recordActivity(long nowNanos) {
        updateAverage(nowNanos);
        lastActiveNanos = nowNanos;
    }

    /**
     * Returns the number of slots that its tasks are expected to need concurrently, at least 1.
     *
     * <p>This is the moving average of its running tasks plus one standard deviation, which is the square root of the
     * average for independent arrivals. The recent peak would leave a third of the slots idle: a task that finds no
     * slot here is sent to another agent, so no agent has to provide for its own peak.
     */
    int expectedSlots(long nowNanos) {
        updateAverage(nowNanos);
        return Math.max(1, (int) Math.ceil(averageRunning + Math.sqrt(averageRunning)));
    }

    /** Updates the moving average; the number of running tasks has not changed since the last call. */
    private void updateAverage(long nowNanos) {
        double decay = Math.exp((updatedNanos - nowNanos) / AVERAGE_TIME_CONSTANT_NANOS);
        averageRunning = averageRunning * decay + running * (1 - decay);
        updatedNanos = nowNanos;
    }

    boolean active(long nowNanos) {
        return running + leased > 0 || nowNanos - lastActiveNanos < ACTIVE_NANOS;
    }

    double estimatedRunNanos() {
        return estimatedRunNanos;
    }

    void recordRunTime(long runNanos) {
        estimatedRunNanos += (runNanos - estimatedRunNanos) * RUN_TIME_ESTIMATE_GAIN;
    }
}
