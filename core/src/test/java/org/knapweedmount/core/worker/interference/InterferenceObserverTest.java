package org.knapweedmount.core.worker.interference;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleUnaryOperator;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.message.KindInterference;
import org.knapweedmount.api.work.RunRef;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Replays runs of three kinds that overlap at random on one worker, in virtual time. */
class InterferenceObserverTest {
    private static final long SEED = 8;
    private static final int CORES = 32;
    private static final int MILLI_CORES = 3_200;
    private static final int SECONDS = 120;
    private static final Map<String, Integer> EXPECTED_MILLIS = Map.of("short", 73, "long", 1_086, "medium", 243);

    /** The runs of each kind that arrive in a second. */
    private static final Map<String, Double> RATES = Map.of("short", 8.0, "long", 0.9, "medium", 6.0);

    private final Random random = new Random(SEED);
    private final InterferenceObserver observer = new InterferenceObserver();
    private final Map<String, Integer> present = new HashMap<>();
    private final PriorityQueue<End> ends = new PriorityQueue<>(Comparator.comparingDouble(End::millis));
    private double nowMillis;
    private int lastRun;

    private record End(double millis, RunRef ref, String kind) {}

    /** How many times as long a run takes that starts now. */
    @FunctionalInterface
    private interface Slowness {
        double factor(String kind, double millis);
    }

    private static long nanos(double millis) {
        return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    private int runs() {
        return present.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Runs the load for some seconds; the number of arrivals can change with the time. */
    private void replay(int seconds, DoubleUnaryOperator load, Slowness slowness) {
        double end = nowMillis + TimeUnit.SECONDS.toMillis(seconds);
        while (nowMillis < end) {
            nowMillis++;
            while (!ends.isEmpty() && ends.peek().millis() <= nowMillis) {
                End ended = ends.remove();
                present.merge(ended.kind(), -1, Integer::sum);
                observer.ended(ended.ref(), true, nanos(nowMillis));
            }
            RATES.forEach((kind, rate) -> {
                if (random.nextDouble() < rate * load.applyAsDouble(nowMillis) / 1_000
                        && runs() * MILLI_CORES < CORES * 1_000) {
                    start(kind, slowness);
                }
            });
        }
    }

    private void start(String kind, Slowness slowness) {
        lastRun++;
        RunRef ref = new RunRef("task-" + lastRun, 1);
        observer.started(ref, kind, MILLI_CORES, EXPECTED_MILLIS.get(kind), nanos(nowMillis));
        double error = 0.7 + 0.6 * random.nextDouble();
        double millis = EXPECTED_MILLIS.get(kind) * error * slowness.factor(kind, nowMillis);
        present.merge(kind, 1, Integer::sum);
        ends.add(new End(nowMillis + millis, ref, kind));
    }

    private int present(String kind) {
        return present.getOrDefault(kind, 0);
    }

    private List<String> pairs() {
        return observer.pairs(nanos(nowMillis)).stream()
                .map(pair -> pair.kind() + " beside " + pair.neighbour())
                .toList();
    }

    private double mediumBesideLong(String kind, double millis) {
        return kind.equals("medium") && present("long") > 0 ? 1.6 : 1;
    }

    /** Guards against a pair that slows down but is never found, or is found the wrong way round. */
    @Test
    void pairThatSlowsDownIsFound() {
        replay(SECONDS, millis -> 1, this::mediumBesideLong);

        assertThat(pairs(), contains("medium beside long"));
        assertThat(observer.takeChanges(), hasSize(1));
    }

    /**
     * Guards against taking a slowdown that two of three kinds share for a slow worker. The other direction is not found at
     * this load: medium runs are beside each long one for nearly all its time, so that there is nothing to compare.
     */
    @Test
    void pairThatSlowsDownBothKindsIsFound() {
        replay(2 * SECONDS, millis -> 1, (kind, millis) -> {
            boolean beside = kind.equals("medium") && present("long") > 0;
            return beside || (kind.equals("long") && present("medium") > 0) ? 1.6 : 1;
        });

        assertThat(pairs(), hasItem("medium beside long"));
    }

    @Test
    void runsThatDoNotInterfereBlameNoPair() {
        replay(3 * SECONDS, millis -> 1, (kind, millis) -> 1);

        assertThat(pairs(), is(empty()));
        assertThat(observer.takeChanges(), is(empty()));
    }

    /** Guards against blaming a pair for a worker that is slow all the time. */
    @Test
    void slowWorkerBlamesNoPair() {
        replay(SECONDS, millis -> 1, (kind, millis) -> 2.4);

        assertThat(observer.takeChanges(), is(empty()));
    }

    /** Guards against blaming the kinds that happened to run while the worker was slow or cold for some seconds. */
    @Test
    void worstSecondsOfAWorkerBlameNoPair() {
        replay(2 * SECONDS, millis -> 1, (kind, millis) -> millis % 20_000 < 3_000 ? 3 : 1);

        assertThat(observer.takeChanges(), is(empty()));
    }

    /** Guards against blaming the neighbours, of which there are more the fuller the worker is. */
    @Test
    void slownessThatGrowsWithTheLoadBlamesNoPair() {
        replay(
                2 * SECONDS,
                millis -> 1 + 0.55 * Math.sin(millis / 17_000 * 2 * Math.PI),
                (kind, millis) -> 1 + (double) runs() * MILLI_CORES / 1_000 / CORES);

        assertThat(observer.takeChanges(), is(empty()));
    }

    /** Guards against a run time that the entries expect wrongly for one queue. */
    @Test
    void wrongExpectationForOneKindBlamesNoPair() {
        replay(SECONDS, millis -> 1, (kind, millis) -> kind.equals("medium") ? 1.8 : 0.7);

        assertThat(observer.takeChanges(), is(empty()));
    }

    /** Guards against a pair that counts for ever although it no longer slows down. */
    @Test
    void pairThatNoLongerSlowsDownIsForgotten() {
        replay(SECONDS, millis -> 1, this::mediumBesideLong);
        observer.takeChanges();

        replay(8 * SECONDS, millis -> 1, (kind, millis) -> 1);

        assertThat(pairs(), is(empty()));
        assertThat(observer.takeChanges().get(0).event(), is("pair-forgotten"));
    }

    @Test
    void pairOfAKindThatHasNotRunForLongIsNotReported() {
        replay(SECONDS, millis -> 1, this::mediumBesideLong);

        nowMillis += TimeUnit.NANOSECONDS.toMillis(InterferenceObserver.MAX_AGE_NANOS) + 1;

        assertThat(pairs(), is(empty()));
    }

    /** Guards against memory and reports that grow with the number of queues. */
    @Test
    void kindsAndReportedPairsAreBounded() {
        for (int run = 0; run < 4_000; run++) {
            String kind = "kind-" + run % (3 * InterferenceObserver.MAX_KINDS);
            RunRef ref = new RunRef("bounded-" + run, 1);
            observer.started(ref, kind, MILLI_CORES, 1 + random.nextInt(400), nanos(nowMillis));
            nowMillis += 10;
            observer.ended(ref, true, nanos(nowMillis));
        }

        assertThat(observer.kinds(), is(InterferenceObserver.MAX_KINDS));
        List<KindInterference> reported = new ArrayList<>(observer.pairs(nanos(nowMillis)));
        assertThat(reported.size(), is(lessThanOrEqualTo(InterferenceObserver.MAX_REPORTED_PAIRS)));
    }
}
