package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The requests of one flow in a load and what became of them. */
final class MeasuredFlow {
    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1_000_000_000;

    private final String kind;
    private final String team;
    private final double perSecond;
    private final RunTime runTime;
    private final Random random;
    private final List<Completion> completions = new ArrayList<>();
    private long ranNanos;
    private final List<Arrival> arrivals = new ArrayList<>();

    /**
     * A request that was sent.
     *
     * @param atNanos when it was sent
     * @param runNanos for how long its task runs
     */
    record Arrival(long atNanos, long runNanos) {}

    /**
     * A request that was answered in full.
     *
     * @param responseNanos how long the caller waited
     * @param runNanos for how long its task ran
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

    /** Draws the time until the next request. */
    long nextGapNanos() {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND);
    }

    /** Draws the run time of the next request, in ms. */
    int nextRunMillis() {
        return (int) Math.ceil(runTime.nextMillis(random));
    }

    void sent(long atNanos, long runNanos) {
        arrivals.add(new Arrival(atNanos, runNanos));
    }

    /** Notes that a task was completed while the load lasted. */
    void ran(long runNanos) {
        ranNanos += runNanos;
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

    /** The total run time of the tasks that were completed while the load lasted, in ns. */
    long ranNanos() {
        return ranNanos;
    }

    /** Returns the quantiles of the response times of complete requests, in ms. */
    Quantiles responseMillis() {
        return Quantiles.of(completions.stream()
                .map(completion -> completion.responseNanos() / NANOS_PER_MILLI)
                .toList());
    }

    /** Returns the ratios of response time to ideal, which is the run time and two delays. */
    Quantiles ratios(long delaysNanos) {
        return Quantiles.of(completions.stream()
                .map(completion -> completion.ratio(delaysNanos))
                .toList());
    }
}
