package org.knapweedmount.standins.replay;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

/** A placement policy whose response times are simulated. */
public enum Policy {
    /** One queue that serves the slots of all executors without delay: the bound for all other policies. */
    SINGLE_QUEUE {
        @Override
        long[] responseTimes(List<Arrival> arrivals, Fleet fleet, Random random) {
            Fleet merged = new Fleet(1, fleet.executors() * fleet.slots(), fleet.oneWayMicros());
            return simulateQueues(arrivals, merged, queues -> 0);
        }
    },
    /** Each request is queued at a randomly chosen executor. */
    RANDOM_PUSH {
        @Override
        long[] responseTimes(List<Arrival> arrivals, Fleet fleet, Random random) {
            return simulateQueues(arrivals, fleet, choice -> random.nextInt(choice.queues.size()));
        }
    },
    /** Each request joins the shorter of two randomly chosen queues, after a round trip to query their lengths. */
    TWO_CHOICES {
        @Override
        long[] responseTimes(List<Arrival> arrivals, Fleet fleet, Random random) {
            long[] responses = simulateQueues(arrivals, fleet, choice -> shorterOfTwo(choice, random));
            return addToEach(responses, 2 * fleet.oneWayMicros());
        }
    },
    /** Each request is reserved in two queues and runs on the executor that reaches its reservation first. */
    LATE_BINDING {
        @Override
        long[] responseTimes(List<Arrival> arrivals, Fleet fleet, Random random) {
            return new LateBindingSimulation(fleet, random).responseTimes(arrivals);
        }
    };

    /** The state on which the choice of a queue can depend. */
    private record Choice(List<ExecutorQueue> queues, long atMicros) {}

    /**
     * Simulates the response time of each request.
     *
     * @param arrivals the requests in the order of their arrival times
     * @param fleet the executors
     * @param random the random number generator for the choices of the policy
     * @return the response times in µs, in the order of the requests
     */
    abstract long[] responseTimes(List<Arrival> arrivals, Fleet fleet, Random random);

    /**
     * Returns the name of the policy in tables.
     *
     * @return the name, for instance {@code two-choices}
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static long[] simulateQueues(List<Arrival> arrivals, Fleet fleet, ToIntFunction<Choice> chooser) {
        List<ExecutorQueue> queues = Stream.generate(() -> new ExecutorQueue(fleet.slots()))
                .limit(fleet.executors())
                .toList();
        long[] responses = new long[arrivals.size()];
        for (int index = 0; index < responses.length; index++) {
            Arrival arrival = arrivals.get(index);
            long reachedMicros = arrival.arrivalMicros() + fleet.oneWayMicros();
            int chosen = chooser.applyAsInt(new Choice(queues, reachedMicros));
            long end = queues.get(chosen).add(reachedMicros, arrival.runMicros());
            responses[index] = end + fleet.oneWayMicros() - arrival.arrivalMicros();
        }
        return responses;
    }

    private static int shorterOfTwo(Choice choice, Random random) {
        int first = random.nextInt(choice.queues.size());
        int second = random.nextInt(choice.queues.size());
        int firstLength = choice.queues.get(first).length(choice.atMicros);
        int secondLength = choice.queues.get(second).length(choice.atMicros);
        return firstLength <= secondLength ? first : second;
    }

    private static long[] addToEach(long[] values, long amount) {
        long[] sums = new long[values.length];
        for (int index = 0; index < values.length; index++) {
            sums[index] = values[index] + amount;
        }
        return sums;
    }
}
