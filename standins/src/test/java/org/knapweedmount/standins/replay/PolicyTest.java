package org.knapweedmount.standins.replay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class PolicyTest {
    private static final long SEED = 7;
    private static final Fleet FLEET = new Fleet(11, 8, 500);

    @Test
    void inTheSingleQueueTheThirdRequestWaitsForTheFirstFreeSlot() {
        List<Arrival> arrivals = List.of(new Arrival(0, 1000), new Arrival(0, 300), new Arrival(100, 50));

        long[] responses = Policy.SINGLE_QUEUE.responseTimes(arrivals, new Fleet(2, 1, 10), new Random(SEED));

        assertThat(responses, is(new long[] {1020, 320, 270}));
    }

    @Test
    void lateBindingWaitsForOneRoundTripOnAnIdleFleet() {
        long[] responses =
                Policy.LATE_BINDING.responseTimes(List.of(new Arrival(0, 1000)), new Fleet(3, 1, 10), new Random(SEED));

        assertThat(responses, is(new long[] {10 + 20 + 1000 + 10}));
    }

    @ParameterizedTest
    @EnumSource(Policy.class)
    void noRequestIsFasterThanItsRunTimeAndTwoMessages(Policy policy) {
        List<Arrival> arrivals = poisson(2000, 0.8);

        long[] responses = policy.responseTimes(arrivals, FLEET, new Random(SEED));

        for (int index = 0; index < responses.length; index++) {
            long ideal = arrivals.get(index).runMicros() + 2 * FLEET.oneWayMicros();
            assertThat(ideal, is(lessThanOrEqualTo(responses[index])));
        }
    }

    @Test
    void pushingAtRandomIsSlowerThanTheSingleQueue() {
        List<Arrival> arrivals = poisson(5000, 0.8);

        long single = sum(Policy.SINGLE_QUEUE.responseTimes(arrivals, FLEET, new Random(SEED)));
        long random = sum(Policy.RANDOM_PUSH.responseTimes(arrivals, FLEET, new Random(SEED)));

        assertThat(random, is(greaterThan(single)));
    }

    private static long sum(long[] values) {
        return Arrays.stream(values).sum();
    }

    private static List<Arrival> poisson(int count, double load) {
        Random random = new Random(SEED);
        double meanRunMicros = 300_000;
        double meanGapMicros = meanRunMicros / (FLEET.executors() * FLEET.slots() * load);
        List<Arrival> arrivals = new ArrayList<>();
        double at = 0;
        for (int index = 0; index < count; index++) {
            at += -Math.log(1 - random.nextDouble()) * meanGapMicros;
            arrivals.add(new Arrival((long) at, (long) (-Math.log(1 - random.nextDouble()) * meanRunMicros)));
        }
        return arrivals;
    }
}
