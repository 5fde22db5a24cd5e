package org.knapweedmount.core.worker.health;

import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class WorkerLifecycleTest {
    private static final int NOTICE_MILLIS = 1_500;

    private final WorkerLifecycle lifecycle = new WorkerLifecycle();

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Guards against runs that the departure of the worker cuts off, and against stopping those that it does not. */
    @ParameterizedTest
    @CsvSource({
        "86, 0, 1, false",
        "286, 0, 1, false",
        "1286, 0, 1, false",
        "1399, 0, 1, false",
        "1401, 0, 1, true",
        "3600, 0, 1, true",
        "3600, 50, 1, true",
        "3600, 62, 1, false",
        "1286, 0, 1.2, true",
        "1286, 20, 1.2, false",
        "286, 0, 6, true"
    })
    void runIsStoppedIfItCannotEndWithinTheNotice(int millis, int percent, double slowdown, boolean stopped) {
        lifecycle.announced(OptionalInt.empty(), true, OptionalInt.of(NOTICE_MILLIS), 0);

        WorkerLifecycle.Progress progress = new WorkerLifecycle.Progress(millis, percent, 0);
        assertThat(lifecycle.endsBefore(progress, slowdown, 0), is(stopped));
    }

    @Test
    void runThatTakesLongerThanExpectedIsStoppedAtTheLastMoment() {
        lifecycle.announced(OptionalInt.empty(), true, OptionalInt.of(NOTICE_MILLIS), 0);
        WorkerLifecycle.Progress progress = new WorkerLifecycle.Progress(286, 0, 0);

        assertThat(lifecycle.endsBefore(progress, 1, nanos(1_399)), is(false));
        assertThat(lifecycle.endsBefore(progress, 1, nanos(1_400)), is(true));
    }

    @Test
    void drainWithoutATimeStopsNoRuns() {
        lifecycle.announced(OptionalInt.empty(), true, OptionalInt.empty(), 0);

        assertThat(lifecycle.endsBefore(new WorkerLifecycle.Progress(60_000, 0, 0), 1, nanos(60_000)), is(false));
    }

    @Test
    void revokedDrainStopsNoRuns() {
        lifecycle.announced(OptionalInt.empty(), true, OptionalInt.of(NOTICE_MILLIS), 0);
        lifecycle.announced(OptionalInt.empty(), false, OptionalInt.empty(), nanos(100));

        assertThat(lifecycle.endsBefore(new WorkerLifecycle.Progress(3_600, 0, 0), 1, nanos(100)), is(false));
    }

    @Test
    void coldStartEndsByItself() {
        lifecycle.announced(OptionalInt.of(2_000), false, OptionalInt.empty(), nanos(100));

        assertThat(lifecycle.coldMillis(nanos(600)), is(1_500));
        assertThat(lifecycle.coldMillis(nanos(2_100)), is(0));
        assertThat("of a run that began then", lifecycle.wasColdAt(nanos(2_099)), is(true));
    }

    /** Announcements of warm workers come every second; what ran before one of them is not a cold start. */
    @Test
    void warmWorkerWasNotColdBeforeItsAnnouncement() {
        lifecycle.announced(OptionalInt.of(0), false, OptionalInt.empty(), nanos(5_000));

        assertThat(lifecycle.wasColdAt(nanos(4_900)), is(false));
    }

    @Test
    void workerMayBeWarmEarlierThanAnnounced() {
        lifecycle.announced(OptionalInt.of(2_000), false, OptionalInt.empty(), 0);
        lifecycle.announced(OptionalInt.of(0), false, OptionalInt.empty(), nanos(1_000));

        assertThat(lifecycle.coldMillis(nanos(1_000)), is(0));
    }
}
