package org.knapweedmount.daemon.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

@Timeout(60)
class DecisionLoopTest {
    private static final int RING_SIZE = 8;

    private final AtomicLong clock = new AtomicLong(100);
    private final DecisionLoop<List<Long>> loop = new DecisionLoop<>("decisions", RING_SIZE, clock::get);
    private final List<Long> seen = new ArrayList<>();

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void eventsRunInOrderWithTheCurrentTime() {
        loop.offer((core, nowNanos) -> core.add(nowNanos));
        loop.offer((core, nowNanos) -> clock.set(200));
        loop.offer((core, nowNanos) -> core.add(nowNanos));

        loop.start(seen);
        loop.close();

        assertThat(seen, contains(100L, 200L));
    }

    @Test
    void fullRingRefusesAndAcceptsAgainOnceItIsEmptied() throws InterruptedException {
        CountDownLatch emptied = new CountDownLatch(RING_SIZE);
        for (int i = 0; i < RING_SIZE; i++) {
            assertThat(loop.offer((core, nowNanos) -> emptied.countDown()), is(true));
        }

        assertThat(loop.offer((core, nowNanos) -> core.add(1L)), is(false));
        assertThat(loop.depth(), is((long) RING_SIZE));
        assertThat(loop.refused(), is(1L));

        loop.start(seen);
        emptied.await();
        Polling.until(() -> loop.offer((core, nowNanos) -> core.add(2L)));
        loop.close();
        assertThat(seen, contains(2L));
        assertThat(loop.depth(), is(0L));
    }

    @Test
    void eventThatThrowsIsCountedAndTheNextOneRuns() {
        loop.offer((core, nowNanos) -> {
            throw new IllegalStateException("expected by this test");
        });
        loop.offer((core, nowNanos) -> {
            throw new AssertionError("expected by this test");
        });
        loop.offer((core, nowNanos) -> core.add(1L));

        loop.start(seen);
        loop.close();

        assertThat(loop.failures(), is(2L));
        assertThat(seen, contains(1L));
    }

    @Test
    void eventsOfManyThreadsRunOnceEachOnOneThread() throws InterruptedException {
        int threads = 4;
        int perThread = 5_000;
        loop.start(seen);

        ExecutorService producers = Executors.newFixedThreadPool(threads);
        for (int i = 0; i < threads; i++) {
            producers.execute(() -> offerAll(perThread));
        }
        producers.shutdown();
        assertThat(producers.awaitTermination(60, TimeUnit.SECONDS), is(true));
        loop.close();

        assertThat(seen, hasSize(threads * perThread));
    }

    private void offerAll(int count) {
        for (int i = 0; i < count; i++) {
            Polling.until(() -> loop.offer((core, nowNanos) -> core.add(nowNanos)));
        }
    }

    @Test
    void closedLoopRefuses() {
        loop.start(seen);
        loop.close();

        assertThat(loop.offer((core, nowNanos) -> core.add(1L)), is(false));
    }
}
