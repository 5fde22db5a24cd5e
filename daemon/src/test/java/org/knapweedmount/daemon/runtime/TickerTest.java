package org.knapweedmount.daemon.runtime;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

@Timeout(60)
class TickerTest {
    private final Vertx vertx = Vertx.vertx();
    private final BlockingQueue<Decision<String>> offered = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> ticks = new LinkedBlockingQueue<>();

    @AfterEach
    void close() {
        vertx.close().await();
    }

    @Test
    void nextTickIsOfferedWhenTheOneBeforeHasRun() throws InterruptedException {
        Ticker<String> ticker = Ticker.start(vertx, 10, offered::offer, (core, nowNanos) -> ticks.add(core + nowNanos));

        offered.take().decide("a", 1);
        offered.take().decide("b", 2);

        assertThat(ticks.take(), is("a1"));
        assertThat(ticks.take(), is("b2"));
        ticker.close();
    }

    @Test
    void noTickIsAddedWhileOneWaits() throws InterruptedException {
        BlockingQueue<Integer> attempts = new LinkedBlockingQueue<>();
        Ticker<String> ticker = Ticker.start(vertx, 10, offered::offer, (core, nowNanos) -> ticks.add(core));
        vertx.setPeriodic(10, id -> attempts.add(offered.size()));

        Decision<String> first = offered.take();
        for (int i = 0; i < 5; i++) {
            attempts.take();
        }

        assertThat(offered, is(empty()));
        first.decide("a", 1);
        offered.take();
        ticker.close();
    }

    @Test
    void refusedTickIsOfferedAgain() throws InterruptedException {
        DecisionQueue<String> fullAtFirst = decision -> {
            offered.add(decision);
            return offered.size() > 1;
        };
        Ticker<String> ticker = Ticker.start(vertx, 10, fullAtFirst, (core, nowNanos) -> ticks.add(core));

        Polling.until(() -> offered.size() >= 2);
        ticker.close();
    }
}
