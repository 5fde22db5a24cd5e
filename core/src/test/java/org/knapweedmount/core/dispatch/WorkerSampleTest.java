package org.knapweedmount.core.dispatch;

import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Tests {@link WorkerSample}. */
class WorkerSampleTest {
    private static final int AGENTS = 1_200;

    private static long size(TrackedTask task, int entries) {
        WorkerSample sample = WorkerSample.of(task, entries);
        return IntStream.range(0, AGENTS)
                .filter(agent -> sample.contains(new Incarnation("agent-" + agent, 1)))
                .count();
    }

    private static TrackedTask task() {
        return DispatchFixture.job("j", 0, 86).tasks().get(0);
    }

    @Test
    void fewEntriesChooseAmongAllWorkers() {
        assertThat(size(task(), 1), is((long) AGENTS));
        assertThat(size(task(), 3), is((long) AGENTS));
    }

    @Test
    void nineEntriesChooseAmongAThirdOfTheWorkersFirst() {
        assertThat(size(task(), 9), allOf(greaterThan(AGENTS / 4L), lessThan(AGENTS * 5 / 12L)));
    }

    @Test
    void eachRunOfATaskHasASampleOfItsOwn() {
        TrackedTask task = task();
        WorkerSample first = WorkerSample.of(task, 9);
        task.markOrdered(new Incarnation("agent-1", 1));
        task.markQueued();

        assertThat(WorkerSample.of(task, 9).equals(first), is(false));
    }
}
