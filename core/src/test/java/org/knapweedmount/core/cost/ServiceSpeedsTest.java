package org.knapweedmount.core.cost;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

class ServiceSpeedsTest {
    private static final long SEED = 4;
    private static final int WORKERS = 9;
    private static final int UPDATES = 200;

    /** The standard deviation of an agent's estimate on workers that are alike, about that of a dozen run times. */
    private static final double NOISE = 0.1;

    private final Random random = new Random(SEED);
    private final List<WorkerSpeed> speeds =
            IntStream.range(0, WORKERS).mapToObj(worker -> new WorkerSpeed()).toList();

    /** Updates the estimates of workers of which each third one has a ratio, by reports of the first ones or all. */
    private void report(double ratioOfThird, double shared, double noise, boolean onlyThirds) {
        ServiceSpeeds.update(
                IntStream.range(0, WORKERS)
                        .filter(worker -> !onlyThirds || worker % 3 == 2)
                        .mapToObj(worker -> new ServiceSpeeds.Reported(
                                speeds.get(worker),
                                shared
                                        * (worker % 3 == 2 ? ratioOfThird : 1)
                                        * Math.exp(noise * random.nextGaussian())))
                        .toList(),
                speeds);
    }

    private void reportRepeatedly(double ratioOfThird, double shared, double noise, boolean onlyThirds) {
        IntStream.range(0, UPDATES).forEach(update -> report(ratioOfThird, shared, noise, onlyThirds));
    }

    /** Guards against ignoring that a third of the workers of site P are 2.4 times as fast as the others. */
    @Test
    void fasterWorkersAreFoundWhateverTheErrorOfTheExpectedTimes() {
        reportRepeatedly(0.41, 1.43, NOISE, false);

        assertThat(speeds.get(2).ratio(), is(closeTo(0.41, 0.05)));
        assertThat(speeds.get(0).ratio(), is(1.0));
    }

    @Test
    void slowerWorkersAreFoundBelowTheRatioOfAMomentarySlowdown() {
        reportRepeatedly(1.4, 1, NOISE, false);

        assertThat(speeds.get(2).ratio(), is(closeTo(1.4, 0.1)));
    }

    /** Guards against placement by noise at a site whose workers are all alike. */
    @Test
    void workersThatAreAlikeKeepTheRatioOne() {
        reportRepeatedly(1, 1.3, NOISE, false);

        assertThat(speeds.stream().map(WorkerSpeed::ratio).toList(), everyItem(is(1.0)));
    }

    /** Guards against estimates that meet again, and forget, when at a low load only the fast workers have runs. */
    @Test
    void speedsStayApartWhileOnlyTheFastWorkersHaveRuns() {
        reportRepeatedly(0.41, 1, 0, false);

        reportRepeatedly(0.41, 1, 0, true);

        assertThat(speeds.get(2).ratio(), is(closeTo(0.41, 0.01)));
    }

    /** Guards against a slowness of all workers, for example of declared times that are too short, that blames some. */
    @Test
    void slownessOfAllWorkersBlamesNone() {
        reportRepeatedly(1, 1, 0, false);

        reportRepeatedly(1, 5, 0, false);

        assertThat(speeds.stream().map(WorkerSpeed::ratio).toList(), everyItem(is(1.0)));
    }

    @Test
    void fewReportsDoNotCount() {
        IntStream.range(0, 20).forEach(update -> report(0.41, 1, 0, false));

        assertThat(speeds.get(2).ratio(), is(1.0));
    }
}
