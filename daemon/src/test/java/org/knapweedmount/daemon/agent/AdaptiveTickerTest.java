package org.knapweedmount.daemon.agent;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.knapweedmount.daemon.runtime.Decision;
import org.knapweedmount.daemon.runtime.DecisionQueue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

@Timeout(30)
class AdaptiveTickerTest {
    private static final int BUSY_INTERVAL_MILLIS = 5;
    private static final int UNREACHED_INTERVAL_MILLIS = 3_600_000;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final BlockingQueue<Decision<AtomicBoolean>> offered = new LinkedBlockingQueue<>();
    private final BlockingQueue<Long> ticks = new LinkedBlockingQueue<>();
    private final AtomicBoolean idle = new AtomicBoolean();

    @AfterEach
    void close() {
        vertx.close().await();
    }

    @Test
    void ticksAtBusyIntervalWhileThereIsWork() throws InterruptedException {
        start(offered::offer);

        for (long time = 1; time <= 5; time++) {
            offered.take().decide(idle, time);
            assertThat(ticks.take(), is(time));
        }
    }

    @Test
    void ticksAtIdleIntervalUntilItIsWoken() throws InterruptedException {
        AdaptiveTicker<AtomicBoolean> ticker = start(offered::offer);
        idle.set(true);
        Decision<AtomicBoolean> first = offered.take();
        // On the event loop, the decision cannot come before the start of the next timer with the busy interval.
        context.runOnContext(ignored -> first.decide(idle, 1));
        offered.take().decide(idle, 2);
        passIntervals(5);
        assertThat(offered, is(empty()));

        ticker.wake(idle);
        passIntervals(5);
        assertThat(offered, is(empty()));

        idle.set(false);
        ticker.wake(idle);
        offered.take().decide(idle, 3);
        offered.take().decide(idle, 4);
    }

    @Test
    void noTickIsAddedWhileOneIsPendingAndRefusedTickIsRetried() throws InterruptedException {
        BlockingQueue<Integer> attempts = new LinkedBlockingQueue<>();
        start(decision -> attempts.add(1) && attempts.size() > 1 && offered.add(decision));

        Decision<AtomicBoolean> first = offered.take();
        passIntervals(5);
        assertThat(offered, is(empty()));

        first.decide(idle, 1);
        offered.take();
    }

    @Test
    void closedTickerOffersNoTicks() throws InterruptedException {
        AdaptiveTicker<AtomicBoolean> ticker = start(offered::offer);
        Decision<AtomicBoolean> last = offered.take();

        ticker.close();
        last.decide(idle, 1);
        passIntervals(1);
        offered.clear();
        passIntervals(5);

        assertThat(offered, is(empty()));
    }

    private AdaptiveTicker<AtomicBoolean> start(DecisionQueue<AtomicBoolean> queue) {
        AdaptiveTicker<AtomicBoolean> ticker = new AdaptiveTicker<>(
                context,
                BUSY_INTERVAL_MILLIS,
                UNREACHED_INTERVAL_MILLIS,
                queue,
                (module, nowNanos) -> ticks.add(nowNanos),
                AtomicBoolean::get);
        ticker.start();
        return ticker;
    }

    /** Waits until a timer slightly slower than the busy interval has fired the given number of times. */
    private void passIntervals(int count) throws InterruptedException {
        BlockingQueue<Long> fired = new LinkedBlockingQueue<>();
        context.runOnContext(ignored -> vertx.setPeriodic(BUSY_INTERVAL_MILLIS + 1, fired::add));
        for (int i = 0; i < count; i++) {
            fired.take();
        }
    }
}
