package org.knapweedmount.standins.soak;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class VmClockTest {
    private static final int WORKERS = 200;
    private static final long PAUSE_MILLIS = 1_000;
    private static final long FIRST_MILLIS = 1_787_959_029_443L;

    private static long trueMillis(int worker) {
        return FIRST_MILLIS + worker * PAUSE_MILLIS;
    }

    private static List<Long> births(long seed) {
        VmClock clock = new VmClock(new Random(seed));
        return IntStream.range(0, WORKERS)
                .mapToObj(worker -> clock.birthMillis(trueMillis(worker)))
                .toList();
    }

    /** Births that only rose hid agents that take the worker with the latest birth for the present one. */
    @Test
    void someWorkersAreBornBeforeTheOneThatTheyFollow() {
        List<Long> births = births(3);
        List<Long> steps = IntStream.range(1, WORKERS)
                .mapToObj(worker -> births.get(worker) - births.get(worker - 1))
                .toList();
        assertThat(steps, both(hasItem(lessThan(0L))).and(hasItem(greaterThan(PAUSE_MILLIS))));
    }

    @Test
    void theTimeOfDayStaysCloseToTrueTime() {
        List<Long> births = births(3);
        List<Long> offsets = IntStream.range(0, WORKERS)
                .mapToObj(worker -> births.get(worker) - trueMillis(worker))
                .toList();
        assertThat(
                offsets,
                everyItem(allOf(greaterThanOrEqualTo((long) -VmClock.MAX_OFFSET_MILLIS), lessThanOrEqualTo((long)
                        VmClock.MAX_OFFSET_MILLIS))));
    }

    @Test
    void noTwoWorkersHaveTheSameBirth() {
        VmClock clock = new VmClock(new Random(3));
        long different = LongStream.generate(() -> clock.birthMillis(FIRST_MILLIS))
                .limit(WORKERS)
                .distinct()
                .count();
        assertThat(different, is((long) WORKERS));
    }

    /** A worker whose clock begins at 0 shows its age, which hid the tokens that a successor could not reach. */
    @Test
    void clocksOfWorkersBeginAnywhere() {
        VmClock clock = new VmClock(new Random(3));
        List<Long> clocks = LongStream.generate(clock::firstClockMillis)
                .limit(WORKERS)
                .boxed()
                .toList();
        assertThat(
                clocks, everyItem(both(greaterThanOrEqualTo(0L)).and(lessThan((long) VmClock.MAX_FIRST_CLOCK_MILLIS))));
        assertThat(clocks, both(hasItem(lessThan(10_000L))).and(hasItem(greaterThan(9_000_000L))));
    }

    /** A seed that is run again on other programs has to bring the same clocks. */
    @Test
    void aSeedDrawsTheSameClocksAgain() {
        assertThat(births(7), is(births(7)));
    }
}
