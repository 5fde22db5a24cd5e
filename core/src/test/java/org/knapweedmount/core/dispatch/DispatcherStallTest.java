package org.knapweedmount.core.dispatch;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.ResourceOffer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.knapweedmount.core.dispatch.DispatcherFixture.AGENT;
import static org.knapweedmount.core.dispatch.DispatcherFixture.CAPACITY_MILLI_CORES;
import static org.knapweedmount.core.dispatch.DispatcherFixture.JOB;

/** What an entry does with its jobs after it stood still. */
class DispatcherStallTest {
    private final DispatcherFixture fixture = new DispatcherFixture();

    @Test
    void runIsNotOrderedOnAReportReadBeforeTheTickThatExpiresTheJob() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 500, 300);

        fixture.report(501, CAPACITY_MILLI_CORES);

        assertThat(fixture.ordered(), is(empty()));
    }

    @Test
    void runIsNotOrderedOnAnOfferReadBeforeTheTickThatExpiresTheJob() {
        fixture.report(0, 0);
        fixture.submit(JOB, 0, 500, 300);

        fixture.receive(AGENT, new ResourceOffer(1, new Resources(CAPACITY_MILLI_CORES, 1_000, 0)), 501);

        assertThat(fixture.ordered(), is(empty()));
    }
}
