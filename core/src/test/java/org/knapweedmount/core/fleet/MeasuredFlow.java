package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The requests of one flow in a load, and their results. */
final class MeasuredFlow {
    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1_000_000_000;

    private final String kind;
    private final String team;
    private final double perSecond;
    private final RunTime runTime;
    private final Random random;
    private final List<Completion> completions = new ArrayList<>();
    private long completedRunNanos;
    private final List<Arrival> arrivals = new ArrayList<>();

    /**
     * A request that was sent.
     *
     * @param atNanos the time at which it was sent
     * @param runNanos the run time of its task
     */
    record Arrival(long atNanos, long runNanos) {}

    /**
     * A request that was answered as complete.
     *
     * @param responseNanos the response time seen by the caller
     * @param runNanos the run time of its task
     */
    private record Completion(long responseNanos, long runNanos) {
        double ratio(long delaysNanos) {
            return (double) responseNanos / (runNanos + delaysNanos);
        }
    }

    MeasuredFlow(String kind, String team, double perSecond, RunTime runTime, Random random) {
        this.kind = kind;
        this.team = team;
        this.perSecond = perSecond;
        this.runTime = runTime;
        this.random = random;
    }

    String kind() {
        return kind;
    }

    String team() {
        return team;
    }

    /** Draws the time until the next request, in ns. */
    long nextInterarrivalNanos() {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND);
    }

    /** Draws the run time of the next request, in ms. */
    int nextRunMillis() {
        return (int) Math.ceil(runTime.nextMillis(random));
    }

    void sent(long atNanos, long runNanos) {
        arrivals.add(new Arrival(atNanos, runNanos));
    }

    /** Records that a task was completed during the measurement. */
    void addCompletedRun(long runNanos) {
        completedRunNanos += runNanos;
    }

    void complete(long responseNanos, long runNanos) {
        completions.add(new Completion(responseNanos, runNanos));
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    int sentCount() {
        return arrivals.size();
    }

    int completeCount() {
        return completions.size();
    }

    /** Returns the total run time of the tasks completed during the measurement, in ns. */
    long completedRunNanos() {
        return completedRunNanos;
    }

    /** Returns the quantiles of the response times of completed requests, in ms. */
    Quantiles responseMillis() {
        return Quantiles.of(completions.stream()
                .map(completion -> completion.responseNanos() / NANOS_PER_MILLI)
                .toList());
    }

    /** Returns the quantiles of the ratio of response time to ideal time, which is run time plus network delays. */
    Quantiles ratios(long delaysNanos) {
        return Quantiles.of(completions.stream()
                .map(completion -> completion.ratio(delaysNanos))
                .toList());
    }
}
