package org.knapweedmount.core.work;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.WorkQueue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Simulates four data centres of six workers with 16 cores each and four entries; the jobs demand 70% of all cores. One data
 * centre is closed, so that they demand 93% of the cores of the others.
 */
class EvacuationLoadTest {
    private static final int ENTRIES = 4;
    private static final int WORKERS = 24;
    private static final int MILLI_CORES = 16_000;
    private static final String CLOSED = WorkFleet.dataCentre(0);
    private static final List<WorkQueue> QUEUES = List.of(WorkFleet.LOOKUPS, WorkFleet.HOLDS, WorkFleet.MATCHES);

    /** The ratio of the load to the typical one, which uses 126 cores. */
    private static final double LOAD_FACTOR = 0.7 * WORKERS * MILLI_CORES / 1_000 / 126;

    /** When the entries learn of an order after its confirmation, in ms; the last one at the limit of the requirements. */
    private static final double[] LEARNED_MILLIS = {5, 1_500, 3_000, 5_000};

    /** The time in which the first entry and, by its notices, all agents learn of an order, in ms. */
    private static final int NOTICE_MILLIS = 50;

    /** The fraction of jobs on time that the evacuation may cost beside the loss of the capacity itself. */
    private static final double MAX_COST = 0.03;

    private final WorkFleet fleet = WorkFleet.of(7, ENTRIES, WORKERS, MILLI_CORES);
    private final LoadGenerator load = new LoadGenerator(fleet);
    private final Map<RunRef, Long> startsInClosed = new HashMap<>();

    /** Confirms an order that only some of the entries learn of. */
    private void order(long version, Set<String> names, int entries) {
        List<Incarnation> all = fleet.entries();
        for (int i = 0; i < entries; i++) {
            Incarnation entry = all.get(i);
            fleet.time()
                    .after(LEARNED_MILLIS[i], () -> fleet.applyOrders(entry, new ClosedDataCentres(version, names)));
        }
    }

    private void recordStarts() {
        for (int i = 0; i < WORKERS; i++) {
            if (WorkFleet.dataCentre(i).equals(CLOSED)) {
                fleet.workers().get(i).setRunMillis(request -> {
                    startsInClosed.putIfAbsent(request.ref(), fleet.time().nowMillis());
                    return request.expectedMillis();
                });
            }
        }
    }

    private static void send(LoadGenerator load, long fromMillis, int millis) {
        double untilMillis = (double) fromMillis + millis;
        load.send(WorkFleet.LOOKUPS, 24 * LOAD_FACTOR, 8, LoadGenerator.LOOKUP_MILLIS, untilMillis);
        load.send(WorkFleet.HOLDS, 70 * LOAD_FACTOR, 2, LoadGenerator.HOLD_MILLIS, untilMillis);
        load.send(WorkFleet.MATCHES, 4.4 * LOAD_FACTOR, 4, LoadGenerator.MATCH_MILLIS, untilMillis);
    }

    private long startsInClosedBetween(long fromMillis, long toMillis) {
        return startsInClosed.values().stream()
                .filter(start -> start >= fromMillis && start < toMillis)
                .count();
    }

    private void closeUnderLoad() {
        recordStarts();
        send(load, fleet.time().nowMillis(), 10_000);
        fleet.time().run(2_000);
        order(1, Set.of(CLOSED), ENTRIES);
        fleet.time().run(14_000);
    }

    /** Guards against starts in a closed data centre, also by entries that learn of the order late. */
    @Test
    void nothingIsStartedInAClosedDataCentre() {
        long closedMillis = fleet.time().nowMillis() + 2_000 + NOTICE_MILLIS;
        closeUnderLoad();

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(startsInClosedBetween(0, closedMillis), greaterThan(0L));
        assertThat(startsInClosedBetween(closedMillis, Long.MAX_VALUE), is(0L));
    }

    /** Guards against queues that wait for a closed data centre although the others have room for them. */
    @Test
    void othersServeAsManyJobsOnTimeAsASiteWithoutTheClosedDataCentre() {
        WorkFleet smallerSite = WorkFleet.of(7, ENTRIES, WORKERS - WORKERS / 4, MILLI_CORES);
        LoadGenerator sameLoad = new LoadGenerator(smallerSite);
        send(sameLoad, smallerSite.time().nowMillis(), 10_000);
        smallerSite.time().run(16_000);
        closeUnderLoad();

        for (WorkQueue queue : QUEUES) {
            assertThat(
                    load.outcomes(queue) + " instead of " + sameLoad.outcomes(queue),
                    load.onTimeFraction(queue),
                    greaterThanOrEqualTo(sameLoad.onTimeFraction(queue) - MAX_COST));
        }
    }

    /** Guards against a data centre whose capacity is not used again, or is used before its first step is over. */
    @Test
    void allCapacityIsUsedAgainAfterTheReopening() {
        order(1, Set.of(CLOSED), ENTRIES);
        fleet.time().run(6_000);
        order(2, Set.of(), ENTRIES);
        fleet.time().run(7_100);
        recordStarts();
        send(load, fleet.time().nowMillis(), 5_000);
        fleet.time().run(9_000);

        assertThat(startsInClosed.size(), greaterThan(0));
        for (WorkQueue queue : QUEUES) {
            assertThat(load.outcomes(queue).toString(), load.onTimeFraction(queue), is(1.0));
        }
    }

    /** Guards against an entry that neither the store nor a peer tells, and whose orders reach a closed data centre. */
    @Test
    void agentsRefuseTheOrdersOfEntriesThatDoNotKnow() {
        long closedMillis = fleet.time().nowMillis() + 2_000 + NOTICE_MILLIS;
        recordStarts();
        send(load, fleet.time().nowMillis(), 6_000);
        fleet.time().run(2_000);
        order(1, Set.of(CLOSED), 1);
        fleet.time().run(10_000);

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(startsInClosedBetween(closedMillis, Long.MAX_VALUE), is(0L));
    }

    /** Guards against an agent that is told on its first link only, and opens when that link is back. */
    @Test
    void agentWhoseLinksAreLostIsClosedAgainOnItsNextLinks() {
        long closedMillis = fleet.time().nowMillis() + 2_000;
        recordStarts();
        send(load, fleet.time().nowMillis(), 8_000);
        fleet.time().run(2_000);
        fleet.entries().forEach(entry -> fleet.applyOrders(entry, new ClosedDataCentres(1, Set.of(CLOSED))));
        for (int i = 0; i < 10; i++) {
            fleet.time().run(400);
            fleet.agents().forEach(agent -> fleet.resetLink(fleet.entries().get(0), agent, 100));
            fleet.agents().forEach(agent -> fleet.resetLink(fleet.entries().get(1), agent, 300));
        }
        fleet.time().run(6_000);

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(startsInClosedBetween(closedMillis + NOTICE_MILLIS, Long.MAX_VALUE), is(0L));
    }
}
