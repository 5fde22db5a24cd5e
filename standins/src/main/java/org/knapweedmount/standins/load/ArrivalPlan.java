package org.knapweedmount.standins.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Generates the requests of a load in the order of their arrival.
 *
 * <p>The arrivals of each flow are a Poisson process with its own random number generator, so that adding a flow does
 * not change the other flows.
 */
final class ArrivalPlan {
    private static final double MICROS_PER_SECOND = 1_000_000;
    private static final double MICROS_PER_MILLI = 1_000;

    private final double endMicros;
    private final double resubmitShare;
    private final PriorityQueue<FlowArrivals> flowArrivals =
            new PriorityQueue<>(Comparator.comparingDouble(arrivals -> arrivals.nextMicros));
    private long lastNumber;

    /** The arrival process of a flow, with the time of its next request. */
    private static final class FlowArrivals {
        private final LoadFlow flow;
        private final Random random;
        private final double meanGapMicros;
        private double nextMicros;

        private FlowArrivals(LoadFlow flow, double ratePerSecond, long seed) {
            this.flow = flow;
            this.random = new Random(seed);
            this.meanGapMicros = MICROS_PER_SECOND / (flow.share() * ratePerSecond);
            this.nextMicros = flow.fromSecond() * MICROS_PER_SECOND;
            advance();
        }

        private void advance() {
            nextMicros -= meanGapMicros * Math.log(1 - random.nextDouble());
        }

        private boolean hasNext(double endMicros) {
            return nextMicros < Math.min(endMicros, flow.toSecond() * MICROS_PER_SECOND);
        }
    }

    ArrivalPlan(List<LoadFlow> flows, double ratePerSecond, double seconds, double resubmitShare, long seed) {
        this.endMicros = seconds * MICROS_PER_SECOND;
        this.resubmitShare = resubmitShare;
        for (LoadFlow flow : flows) {
            FlowArrivals arrivals = new FlowArrivals(
                    flow, ratePerSecond, seed * 31 + flow.name().hashCode());
            if (arrivals.hasNext(endMicros)) {
                flowArrivals.add(arrivals);
            }
        }
    }

    /** Returns the next request, or empty at the end of the load. */
    Optional<PlannedRequest> next() {
        FlowArrivals arrivals = flowArrivals.poll();
        if (arrivals == null) {
            return Optional.empty();
        }
        PlannedRequest request = request(arrivals);
        arrivals.advance();
        if (arrivals.hasNext(endMicros)) {
            flowArrivals.add(arrivals);
        }
        return Optional.of(request);
    }

    private PlannedRequest request(FlowArrivals arrivals) {
        List<PlannedTask> tasks = new ArrayList<>();
        for (int i = 0; i < arrivals.flow.jobTasks(); i++) {
            tasks.add(task(arrivals));
        }
        long longest = tasks.stream().mapToLong(PlannedTask::runMicros).max().orElseThrow();
        return new PlannedRequest(
                arrivals.flow,
                ++lastNumber,
                (long) arrivals.nextMicros,
                tasks,
                resubmitAfterMicros(arrivals.random, longest));
    }

    private static PlannedTask task(FlowArrivals arrivals) {
        long runMicros = arrivals.flow.runTime().sampleMicros(arrivals.random);
        if (arrivals.flow.declaredSigma().isEmpty()) {
            return new PlannedTask(runMicros, 0);
        }
        double factor = Math.exp(arrivals.flow.declaredSigma().getAsDouble() * arrivals.random.nextGaussian());
        return new PlannedTask(runMicros, Math.max(1, (int) (runMicros * factor / MICROS_PER_MILLI)));
    }

    /** Draws a delay of up to twice the longest run time, so that some resubmissions come after the response. */
    private OptionalLong resubmitAfterMicros(Random random, long longestRunMicros) {
        if (random.nextDouble() >= resubmitShare) {
            return OptionalLong.empty();
        }
        return OptionalLong.of((long) (2 * longestRunMicros * random.nextDouble()));
    }
}
