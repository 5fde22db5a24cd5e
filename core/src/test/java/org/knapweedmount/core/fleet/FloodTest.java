package org.knapweedmount.core.fleet;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Checks in virtual time that an overload of one kind does not affect the throughput and latency of other kinds. */
class FloodTest {
    private static final long SEED = 1;
    private static final int SECONDS = 20;
    private static final double CHECKS_PER_SECOND = 190;
    private static final double CHECK_MILLIS = 80;
    private static final double SETTLEMENTS_PER_SECOND = 10;
    private static final double SETTLEMENT_MILLIS = 900;
    private static final double SLOTS = 88;
    private static final double MAX_SETTLEMENT_WAIT_MILLIS = 60_000;

    private static final FleetLoad BASELINE = load(CHECKS_PER_SECOND, SETTLEMENTS_PER_SECOND);
    private static final FleetLoad FLOOD_OF_SETTLEMENTS = load(CHECKS_PER_SECOND, 980);

    private static FleetLoad load(double checksPerSecond, double settlementsPerSecond) {
        return FleetLoad.of(SEED, FleetSite.DUES, SECONDS)
                .flow(FakeFleet.REPEATABLE, "kiosks", checksPerSecond, RunTime.exponential(CHECK_MILLIS))
                .flow(FakeFleet.ONCE, "settlements", settlementsPerSecond, RunTime.exponential(SETTLEMENT_MILLIS))
                .run();
    }

    @Test
    void checksKeepThroughputAndResponseTimeInAFloodOfSettlements() {
        MeasuredFlow checks = FLOOD_OF_SETTLEMENTS.flows().get(0);

        assertThat(checks.completeCount(), is(checks.sentCount()));
        double baselineMillis = BASELINE.flows().get(0).responseMillis().at(0.99);
        assertThat(checks.responseMillis().at(0.99), is(lessThan(1.2 * baselineMillis)));
    }

    @Test
    void floodUsesTheSlotsThatOtherKindsDoNotNeed() {
        double held = FLOOD_OF_SETTLEMENTS.flows().stream()
                .mapToDouble(FLOOD_OF_SETTLEMENTS::slotsHeld)
                .sum();

        assertThat(held, is(greaterThan(0.8 * SLOTS)));
    }

    /** If some entries were served less than others, their callers would wait longer than the limit of the kind. */
    @Test
    void waitIsBoundedForCallersOfAllEntries() {
        MeasuredFlow settlements = FLOOD_OF_SETTLEMENTS.flows().get(1);

        assertThat(settlements.responseMillis().at(0.99), is(lessThan(1.25 * MAX_SETTLEMENT_WAIT_MILLIS)));
    }

    @Test
    void settlementsKeepThroughputAndResponseTimeInAFloodOfChecks() {
        FleetLoad flood = load(11_000, SETTLEMENTS_PER_SECOND);

        MeasuredFlow settlements = flood.flows().get(1);
        assertThat(settlements.completeCount(), is(settlements.sentCount()));
        double baselineMillis = BASELINE.flows().get(1).responseMillis().at(0.99);
        assertThat(settlements.responseMillis().at(0.99), is(lessThan(1.2 * baselineMillis)));
    }
}
