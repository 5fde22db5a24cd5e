package org.knapweedmount.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** The requests of one flow in a load and what became of them. */
final class MeasuredFlow {
    private static final double NANOS_PER_MILLI = 1_000_000;
    private static final double NANOS_PER_SECOND = 1_000_000_000;

    private final String kind;
    private final String team;
    private final double perSecond;
    private final double meanMillis;
    private final Random random;
    private final List<Long> responseNanos = new ArrayList<>();
    private final List<Long> waitNanos = new ArrayList<>();
    private long ranNanos;
    private final List<Arrival> arrivals = new ArrayList<>();

    /**
     * A request that was sent.
     *
     * @param atNanos when it was sent
     * @param runNanos for how long its task runs
     */
    record Arrival(long atNanos, long runNanos) {}

    MeasuredFlow(String kind, String team, double perSecond, double meanMillis, Random random) {
        this.kind = kind;
        this.team = team;
        this.perSecond = perSecond;
        this.meanMillis = meanMillis;
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
        return (long) (exponential() / perSecond * NANOS_PER_SECOND);
    }

    /** Draws the run time of the next request, in ms. */
    int nextRunMillis() {
        return (int) Math.ceil(exponential() * meanMillis);
    }

    private double exponential() {
        return -Math.log(1 - random.nextDouble());
    }

    void sent(long atNanos, long runNanos) {
        arrivals.add(new Arrival(atNanos, runNanos));
    }

    /** Notes that a task was completed while the load lasted. */
    void ran(long runNanos) {
        ranNanos += runNanos;
    }

    void complete(long response, long runNanos) {
        responseNanos.add(response);
        waitNanos.add(response - runNanos);
    }

    List<Arrival> arrivals() {
        return arrivals;
    }

    int sentCount() {
        return arrivals.size();
    }

    int completeCount() {
        return responseNanos.size();
    }

    /** The total run time of the tasks that were completed while the load lasted, in ns. */
    long ranNanos() {
        return ranNanos;
    }

    /** Returns a quantile of the response times of complete requests, in ms. */
    double responseMillis(double quantile) {
        return quantileMillis(responseNanos, quantile);
    }

    /** Returns a quantile of the response times less the run times, in ms. */
    double waitMillis(double quantile) {
        return quantileMillis(waitNanos, quantile);
    }

    private static double quantileMillis(List<Long> nanos, double quantile) {
        List<Long> sorted = new ArrayList<>(nanos);
        Collections.sort(sorted);
        int index = (int) Math.ceil(quantile * sorted.size()) - 1;
        return sorted.get(Math.max(0, index)) / NANOS_PER_MILLI;
    }
}
