package org.knapweedmount.standins.soak;

import java.util.Random;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.standins.support.HostPort;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class WorkerPlaceTest {
    private static final HostPort ADDRESS = new HostPort("127.250.2.1", 8165);
    private static final HostPort NO_AGENT = new HostPort("127.250.2.1", 8166);
    private static final int LONG_DRAIN_MILLIS = 600_000;

    private final Vertx vertx = Vertx.vertx();
    private final WorkerSite site = new WorkerSite(new RunHistory());
    private final SoakWorker first = worker("a");
    private final SoakWorker second = worker("b");
    private final WorkerPlace place = new WorkerPlace(vertx, ADDRESS, first, second);

    private SoakWorker worker(String name) {
        return new SoakWorker(vertx, site, ADDRESS, NO_AGENT, name, new VmClock(new Random(1)), new Random(1));
    }

    @AfterEach
    void close() {
        vertx.close().await();
    }

    /** A replacement had an address of its own, which no agent calls, and was left without orders until it was replaced. */
    @Test
    void theNewestWorkerHasTheAddressOnceTheOldOneHasEnded() {
        first.begin(false);
        place.replace(LONG_DRAIN_MILLIS);
        assertThat(place.worker(), is(second));
        assertThat(place.receiver(), is(first));

        first.crash();

        assertThat(place.receiver(), is(second));
    }

    @Test
    void eachSecondReplacementHasTheAddressAtOnce() {
        first.begin(false);
        place.replace(LONG_DRAIN_MILLIS);
        first.crash();
        place.replace(LONG_DRAIN_MILLIS);
        assertThat(place.worker(), is(first));
        assertThat(place.receiver(), is(first));
        assertThat(second.isAlive(), is(true));
    }
}
