package org.knapweedmount.core.agent;

import java.util.concurrent.TimeUnit;

/** What is known of one kind of task at this agent: the slots it holds, its recent use, and its usual run time. */
final class KindState {
    /** How long a kind is active after its last task. */
    static final long ACTIVE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** How long it takes until use counts for a third only. */
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

    /** Counts the slots that run its tasks or are leased for them. */
    int held() {
        return running + leased;
    }

    /** Notes that there is demand or a task now; the number of running tasks changes only after this. */
    void seen(long nowNanos) {
        advance(nowNanos);
        lastActiveNanos = nowNanos;
    }

    /**
     * Returns how many slots its tasks are likely to need at a time, at least one.
     *
     * <p>That is their recent average and, as for independent arrivals, its square root as the deviation. The recent
     * peak would leave a third of the slots idle: a task that finds no slot here is sent to another agent, so each agent
     * need not be ready for its own peak.
     */
    int recentNeed(long nowNanos) {
        advance(nowNanos);
        return Math.max(1, (int) Math.ceil(meanRunning + Math.sqrt(meanRunning)));
    }

    /** Averages the number of running tasks over time; it has been the same since the last call. */
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
