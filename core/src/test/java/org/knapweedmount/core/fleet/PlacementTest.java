package org.knapweedmount.core.fleet;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Start;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Compares placement by slot leases with a single queue for all slots, in virtual time. */
class PlacementTest {
    private static final long SEED = 2;
    private static final int SECONDS = 60;
    private static final int SLOTS = 88;
    private static final double MEAN_RUN_SECONDS = 0.336;
    private static final RunTime RUN_TIME = RunTime.lognormal(250, 0.6, 0.01, 4_000);
    private static final long MEAN_DELAYS_NANOS = 1_900_000;

    private static final FleetLoad AT_80_PERCENT = FleetLoad.of(SEED, FleetSite.LOOKUPS, SECONDS)
            .flow(FakeFleet.REPEATABLE, FakeFleet.TEAM, 0.8 * SLOTS / MEAN_RUN_SECONDS, RUN_TIME)
            .run();

    @Test
    void responseTimeIsCloseToThatOfASingleQueue() {
        MeasuredFlow lookups = AT_80_PERCENT.flows().get(0);
        Quantiles single = SingleQueue.ratios(lookups.arrivals(), SLOTS, MEAN_DELAYS_NANOS);

        assertThat(lookups.completeCount(), is(lookups.sentCount()));
        assertThat(lookups.ratios(MEAN_DELAYS_NANOS).at(0.99), is(lessThan(1.1 * single.at(0.99))));
    }

    @Test
    void fewMessagesAreNotFollowedByAStart() {
        double starts = AT_80_PERCENT.messages(Start.class);
        int demandsWithoutGrant = AT_80_PERCENT.messages(Demand.class) - AT_80_PERCENT.messages(Grant.class);

        assertThat(demandsWithoutGrant / starts, is(lessThan(0.1)));
        assertThat(AT_80_PERCENT.messages(NotStarted.class) / starts, is(lessThan(0.01)));
    }
}
