package org.knapweedmount.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/** Tests {@link DemandTargets}. */
class DemandTargetsTest {
    private static final String SERVICE = "service";

    private final DemandTargets targets = new DemandTargets();
    private final List<WorkerView> agents = agents(54);

    private static List<WorkerView> agents(int count) {
        List<WorkerView> views = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            views.add(new WorkerView(new Incarnation("agent-" + i, 1), 0));
        }
        return views;
    }

    private List<WorkerView> choose(long millis) {
        return targets.choose(SERVICE, agents, DispatchFixture.millisToNanos(millis));
    }

    /** A queue is mostly gone before it matters that more agents know of it. */
    @Test
    void fewAgentsAreToldAtFirst() {
        assertThat(choose(0), hasSize(8));
        assertThat(choose(19), is(choose(0)));
    }

    @Test
    void moreAgentsAreToldWhileTheQueueStaysUntilAllKnow() {
        choose(0);
        assertThat(choose(20), hasSize(16));
        assertThat(choose(40), hasSize(32));
        assertThat(choose(60), hasSize(54));
        assertThat(choose(60_000), hasSize(54));
    }

    @Test
    void othersAreToldOfTheNextQueue() {
        Set<WorkerView> first = new HashSet<>(choose(0));
        targets.queueEmptied(SERVICE);

        List<WorkerView> next = choose(100);
        assertThat(next, hasSize(8));
        next.retainAll(first);
        assertThat(next, is(empty()));
    }

    @Test
    void allOfAFewAgentsAreToldAtOnce() {
        assertThat(targets.choose(SERVICE, agents(3), 0), hasSize(3));
        assertThat(targets.choose(SERVICE, List.of(), 0), is(empty()));
    }
}
