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

/** Jobs on workers under faults, in virtual time. */
class WorkFleetTest {
    private static void load(WorkFleet fleet, double perSecond) {
        fleet.time().after(1_000 / perSecond, () -> {
            List<Incarnation> entries = fleet.entries();
            if (!entries.isEmpty()) {
                Incarnation entry = entries.get(fleet.random().nextInt(entries.size()));
                int draw = fleet.random().nextInt(100);
                int cores = 1_000 + fleet.random().nextInt(1_200);
                if (draw < 25) {
                    fleet.submit(entry, WorkFleet.LOOKUPS, 1 + fleet.random().nextInt(12), cores, 86);
                } else if (draw < 30) {
                    fleet.submit(entry, WorkFleet.MATCHES, 1 + fleet.random().nextInt(6), cores, 1_286);
                } else {
                    fleet.submit(entry, WorkFleet.HOLDS, 2, cores, 286);
                }
            }
            load(fleet, perSecond);
        });
    }

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("seeds", 12));
    }

    private static long completed(WorkFleet fleet) {
        return fleet.verdicts().values().stream()
                .filter(verdict -> verdict.kind() == JobResult.Kind.COMPLETED)
                .count();
    }

    @Test
    void calmLoadIsServedInFull() {
        WorkFleet fleet = WorkFleet.of(1, 3, 11, 16_000);

        load(fleet, 60);
        fleet.time().run(10_000);

        assertThat(fleet.checks().violations(), is(empty()));
        assertThat(
                fleet.verdicts().values().stream()
                        .filter(verdict -> verdict.kind() != JobResult.Kind.COMPLETED)
                        .toList(),
                is(empty()));
        assertThat(completed(fleet), greaterThan(500L));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void randomFaultsBreakNoPromise(long seed) {
        WorkFleet fleet = WorkFleet.of(seed, 3, 8, 16_000);
        load(fleet, 80);
        faults(fleet);

        fleet.time().run(20_000);

        assertThat(fleet.checks().violations(), is(empty()));
        assertThat(completed(fleet), greaterThan(300L));
    }

    /** The platform's pages do not rule out that a later life with the same id carries out an order to an earlier one. */
    @Test
    void ordersToAnEarlierLifeBreakNoPromise() {
        for (long seed = 1; seed <= 40; seed++) {
            WorkFleet fleet = WorkFleet.of(seed, 3, 8, 16_000);
            fleet.workers().forEach(FakeWorker::carryOutOldOrders);
            load(fleet, 80);
            faults(fleet);

            fleet.time().run(20_000);

            assertThat("seed " + seed, fleet.checks().violations(), is(empty()));
        }
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
                worker.answerLate(0.3);
                fleet.time().after(3_000, () -> worker.answerLate(0));
            }
            case 2 -> {
                worker.fail(1);
                fleet.time().after(2_000, () -> worker.fail(0));
            }
            case 3 -> {
                worker.standStill(true);
                fleet.time().after(2_000, () -> worker.standStill(false));
            }
            case 4 -> {
                worker.slow(6);
                fleet.time().after(3_000, () -> worker.slow(1));
            }
            case 5 -> {
                if (agents.size() > 4) {
                    FakeWorker left = fleet.killAgent(agents.get(fleet.random().nextInt(agents.size())));
                    fleet.time().after(fleet.random().nextInt(300, 2_000), () -> fleet.agent(left));
                }
            }
            case 6 -> {
                if (entries.size() > 2) {
                    Incarnation killed = entries.get(fleet.random().nextInt(entries.size()));
                    fleet.killEntry(killed);
                    fleet.time().after(500, () -> fleet.entry(killed.process()));
                }
            }
            default ->
                fleet.cut(
                        entries.get(fleet.random().nextInt(entries.size())),
                        agents.get(fleet.random().nextInt(agents.size())),
                        fleet.random().nextInt(20, 4_000),
                        1_500);
        }
    }
}
