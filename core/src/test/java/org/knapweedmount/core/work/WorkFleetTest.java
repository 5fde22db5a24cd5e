package org.knapweedmount.core.work;

import java.util.List;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.core.dispatch.JobResult;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/** Runs jobs on workers in virtual time while workers, agents, entries and links fail. */
class WorkFleetTest {
    private static void load(WorkFleet fleet, double perSecond) {
        fleet.time().after(1_000 / perSecond, () -> {
            List<Incarnation> entries = fleet.entries();
            if (!entries.isEmpty()) {
                Incarnation entry = entries.get(fleet.random().nextInt(entries.size()));
                int draw = fleet.random().nextInt(100);
                int milliCores = 1_000 + fleet.random().nextInt(1_200);
                if (draw < 25) {
                    fleet.submit(entry, WorkFleet.LOOKUPS, 1 + fleet.random().nextInt(12), milliCores, 86);
                } else if (draw < 30) {
                    fleet.submit(entry, WorkFleet.MATCHES, 1 + fleet.random().nextInt(6), milliCores, 1_286);
                } else {
                    fleet.submit(entry, WorkFleet.HOLDS, 2, milliCores, 286);
                }
            }
            load(fleet, perSecond);
        });
    }

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("seeds", 12));
    }

    private static long completed(WorkFleet fleet) {
        return fleet.results().values().stream()
                .filter(result -> result.kind() == JobResult.Kind.COMPLETED)
                .count();
    }

    @Test
    void faultFreeLoadIsCompletedInFull() {
        WorkFleet fleet = WorkFleet.of(1, 3, 11, 16_000);

        load(fleet, 60);
        fleet.time().run(10_000);

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(
                fleet.results().values().stream()
                        .filter(result -> result.kind() != JobResult.Kind.COMPLETED)
                        .toList(),
                is(empty()));
        assertThat(completed(fleet), greaterThan(500L));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void randomFaultsViolateNoInvariant(long seed) {
        WorkFleet fleet = WorkFleet.of(seed, 3, 8, 16_000);
        load(fleet, 80);
        faults(fleet);

        fleet.time().run(20_000);

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(completed(fleet), greaterThan(300L));
    }

    /**
     * The platform's documentation allows a later incarnation with the same ID to execute an order sent to an earlier
     * one.
     */
    @Test
    void ordersToAnEarlierIncarnationViolateNoInvariant() {
        for (long seed = 1; seed <= 40; seed++) {
            WorkFleet fleet = WorkFleet.of(seed, 3, 8, 16_000);
            fleet.workers().forEach(FakeWorker::acceptStaleOrders);
            load(fleet, 80);
            faults(fleet);

            fleet.time().run(20_000);

            assertThat("seed " + seed, fleet.invariants().violations(), is(empty()));
        }
    }

    /** A replacement may start first while the earlier worker drains, also while their agent is away. */
    @ParameterizedTest
    @MethodSource("seeds")
    void workersThatGoOnAfterTheirReplacementHasStartedViolateNoInvariant(long seed) {
        WorkFleet fleet = WorkFleet.of(seed, 3, 8, 16_000);
        load(fleet, 80);
        replacements(fleet);

        fleet.time().run(20_000);

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(completed(fleet), greaterThan(300L));
    }

    private static void replacements(WorkFleet fleet) {
        fleet.time().after(fleet.random().nextInt(100, 900), () -> {
            List<Incarnation> agents = fleet.agents();
            if (agents.size() > 4 && fleet.random().nextBoolean()) {
                FakeWorker worker = fleet.killAgent(agents.get(fleet.random().nextInt(agents.size())));
                fleet.time().after(fleet.random().nextInt(10, 300), worker::replaceWhileRunsGoOn);
                fleet.time().after(fleet.random().nextInt(300, 600), () -> fleet.startAgent(worker));
            } else {
                fleet.workers()
                        .get(fleet.random().nextInt(fleet.workers().size()))
                        .replaceWhileRunsGoOn();
            }
            replacements(fleet);
        });
    }

    /**
     * Clocks of workers begin at any value, so that the token of a new agent may be below those of the agent before it if the
     * worker has started again under its ID meanwhile; a late call of that one is executed although the new agent has opened
     * the worker.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void lateOrdersToWorkersThatStartAgainTogetherWithTheirAgentsViolateNoInvariant(long seed) {
        WorkFleet fleet = WorkFleet.of(seed, 3, 8, 16_000);
        load(fleet, 80);
        fleet.workers().forEach(worker -> worker.delayOrders(0.2));
        restartsOfWorkersAndAgents(fleet);

        fleet.time().run(20_000);

        assertThat(fleet.invariants().violations(), is(empty()));
    }

    private static void restartsOfWorkersAndAgents(WorkFleet fleet) {
        fleet.time().after(fleet.random().nextInt(500, 1_500), () -> {
            List<Incarnation> agents = fleet.agents();
            FakeWorker worker = fleet.killAgent(agents.get(fleet.random().nextInt(agents.size())));
            worker.crash(fleet.random().nextInt(50, 200));
            fleet.time().after(fleet.random().nextInt(250, 500), () -> fleet.startAgent(worker));
            restartsOfWorkersAndAgents(fleet);
        });
    }

    /** A start may be written long after the time that its lease was computed from. */
    @ParameterizedTest
    @MethodSource("seeds")
    void agentsThatStandStillWithinAnEventViolateNoInvariant(long seed) {
        WorkFleet fleet = WorkFleet.of(seed, 3, 8, 16_000);
        load(fleet, 80);
        pauses(fleet);

        fleet.time().run(20_000);

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(completed(fleet), greaterThan(300L));
    }

    private static void pauses(WorkFleet fleet) {
        fleet.time().after(fleet.random().nextInt(50, 400), () -> {
            List<Incarnation> agents = fleet.agents();
            fleet.pauseAgent(
                    agents.get(fleet.random().nextInt(agents.size())),
                    fleet.random().nextInt(20, 3_000));
            FakeWorker worker =
                    fleet.workers().get(fleet.random().nextInt(fleet.workers().size()));
            if (fleet.random().nextInt(4) == 0) {
                worker.delayOrders(0.3);
                fleet.time().after(1_000, () -> worker.delayOrders(0));
            }
            pauses(fleet);
        });
    }

    /** An order that an entry sends on a new link crosses the agent's list of runs, which does not contain it. */
    @ParameterizedTest
    @MethodSource("seeds")
    void ordersOnAResetLinkAreNotTakenForLost(long seed) {
        WorkFleet fleet = WorkFleet.of(seed, 3, 8, 16_000);
        load(fleet, 80);
        resets(fleet);

        fleet.time().run(20_000);

        assertThat(fleet.invariants().violations(), is(empty()));
        assertThat(completed(fleet), greaterThan(300L));
    }

    private static void resets(WorkFleet fleet) {
        fleet.time().after(fleet.random().nextInt(20, 200), () -> {
            List<Incarnation> entries = fleet.entries();
            List<Incarnation> agents = fleet.agents();
            fleet.resetLink(
                    entries.get(fleet.random().nextInt(entries.size())),
                    agents.get(fleet.random().nextInt(agents.size())),
                    fleet.random().nextInt(5, 100));
            resets(fleet);
        });
    }

    private static void faults(WorkFleet fleet) {
        fleet.time().after(fleet.random().nextInt(50, 900), () -> {
            fault(fleet);
            faults(fleet);
        });
    }

    private static void fault(WorkFleet fleet) {
        FakeWorker worker =
                fleet.workers().get(fleet.random().nextInt(fleet.workers().size()));
        List<Incarnation> entries = fleet.entries();
        List<Incarnation> agents = fleet.agents();
        switch (fleet.random().nextInt(8)) {
            case 0 -> worker.crash(fleet.random().nextInt(200, 3_000));
            case 1 -> {
                worker.delayOrders(0.3);
                fleet.time().after(3_000, () -> worker.delayOrders(0));
            }
            case 2 -> {
                worker.setFailureRate(1);
                fleet.time().after(2_000, () -> worker.setFailureRate(0));
            }
            case 3 -> {
                worker.setStalled(true);
                fleet.time().after(2_000, () -> worker.setStalled(false));
            }
            case 4 -> {
                worker.setSlowdown(6);
                fleet.time().after(3_000, () -> worker.setSlowdown(1));
            }
            case 5 -> {
                if (agents.size() > 4) {
                    FakeWorker orphaned =
                            fleet.killAgent(agents.get(fleet.random().nextInt(agents.size())));
                    fleet.time().after(fleet.random().nextInt(300, 2_000), () -> fleet.startAgent(orphaned));
                }
            }
            case 6 -> {
                if (entries.size() > 2) {
                    Incarnation killed = entries.get(fleet.random().nextInt(entries.size()));
                    fleet.killEntry(killed);
                    fleet.time().after(500, () -> fleet.startEntry(killed.process()));
                }
            }
            default ->
                fleet.cutLink(
                        entries.get(fleet.random().nextInt(entries.size())),
                        agents.get(fleet.random().nextInt(agents.size())),
                        fleet.random().nextInt(20, 4_000),
                        1_500);
        }
    }
}
