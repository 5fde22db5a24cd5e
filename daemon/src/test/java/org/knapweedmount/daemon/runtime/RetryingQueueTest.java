package org.knapweedmount.daemon.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

class RetryingQueueTest {
    private final Vertx vertx = Vertx.vertx();
    private final List<Integer> run = new ArrayList<>();
    private final CountDownLatch last = new CountDownLatch(1);
    private volatile boolean full = true;

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void eventsOfAFullRingAreRunLaterInOrder() throws Exception {
        RetryingQueue<List<Integer>> queue = new RetryingQueue<>(vertx, this::offer);
        queue.add((list, nowNanos) -> list.add(1));
        queue.add((list, nowNanos) -> list.add(2));
        full = false;
        queue.add((list, nowNanos) -> {
            list.add(3);
            last.countDown();
        });

        assertThat(last.await(20, TimeUnit.SECONDS), is(true));
        assertThat(run, contains(1, 2, 3));
    }

    private boolean offer(Decision<List<Integer>> decision) {
        if (full) {
            return false;
        }
        decision.decide(run, 0);
        return true;
    }
}
