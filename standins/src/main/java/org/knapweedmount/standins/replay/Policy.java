package org.knapweedmount.standins.replay;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;

/** A placement policy that is computed rather than run. */
public enum Policy {
    /** One queue that knows every slot at once and loses no time: the bound for all others. */
    SINGLE_QUEUE {
        @Override
        long[] responseTimes(List<Arrival> arrivals, Fleet fleet, Random random) {
            Fleet merged = new Fleet(1, fleet.executors() * fleet.slots(), fleet.oneWayMicros());
            return simulateQueues(arrivals, merged, queues -> 0);
        }
    },
    /** Each request goes to an executor chosen at random and queues there. */
    RANDOM_PUSH {
        @Override
        long[] responseTimes(List<Arrival> arrivals, Fleet fleet, Random random) {
            return simulateQueues(arrivals, fleet, choice -> random.nextInt(choice.queues.size()));
        }
    },
    /** Each request goes to the shorter of two queues chosen at random, whose lengths are asked for first. */
    TWO_CHOICES {
        @Override
        long[] responseTimes(List<Arrival> arrivals, Fleet fleet, Random random) {
            long[] responses = simulateQueues(arrivals, fleet, choice -> shorterOfTwo(choice, random));
            return addToEach(responses, 2 * fleet.oneWayMicros());
        }
    },
    /** Each request reserves a place in two queues and runs at the executor that reaches its place first. */
    LATE_BINDING {
        @Override
        long[] responseTimes(List<Arrival> arrivals, Fleet fleet, Random random) {
            return new LateBindingSimulation(fleet, random).responseTimes(arrivals);
        }
    };

    /** What a choice may look at. */
    private record Choice(List<ExecutorQueue> queues, long atMicros) {}

    /**
     * Computes the response time of each request.
     *
     * @param arrivals the requests by rising arrival time
     * @param fleet the executors
     * @param random the source of random choices
     * @return the response times in microseconds, in the order of the requests
     */
    abstract long[] responseTimes(List<Arrival> arrivals, Fleet fleet, Random random);

    /**
     * Returns the name used in tables.
     *
     * @return for instance {@code two-choices}
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
