package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Resources;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class FreeCapacitiesTest {
    private static final Resources TWO_CORES = new Resources(2_000, 100, 0);

    private final WorkerView large = DispatchFixture.worker("large", 3_000, 1);
    private final WorkerView small = DispatchFixture.worker("small", 1_000, 1);
    private final FreeCapacities free = new FreeCapacities(List.of(small, large), 0);

    @Test
    void coresThatOneWorkerHasFreeAreFound() {
        assertThat(free.hasCoresFor(new Resources(3_000, 100, 0)), is(true));
        assertThat(free.hasCoresFor(new Resources(3_001, 100, 0)), is(false));
    }

    @Test
    void chosenRunsTakeCores() {
        free.take(large, TWO_CORES);

        assertThat(free.of(large).milliCores(), is(1_000));
        assertThat(free.hasCoresFor(TWO_CORES), is(false));
    }

    @Test
    void silentWorkersHaveNoCores() {
        FreeCapacities later = new FreeCapacities(List.of(small, large), DispatchTimings.MAX_RUN_END_NANOS + 1);

        assertThat(later.hasCoresFor(Resources.NONE), is(false));
    }
}
