package org.knapweedmount.daemon.runtime;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EventLoopDecisionQueueTest {
    private static final int MAX_EVENTS = 16;
    private static final long TIMEOUT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final AtomicLong nanos = new AtomicLong();
    private final EventLoopDecisionQueue<AtomicLong> queue =
            new EventLoopDecisionQueue<>(context, MAX_EVENTS, nanos::get);

    @AfterEach
    void stop() {
        vertx.close();
    }

    // An entry that was behind with its events could be told only by what others wrote about it.
    @Test
    void longestWaitOfAnEventIsKnownUntilItIsTaken() throws Exception {
        queue.start(nanos);
        CompletableFuture<Long> longest = new CompletableFuture<>();
        CompletableFuture<Long> afterwards = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            queue.offer((clock, nowNanos) -> clock.set(TimeUnit.MILLISECONDS.toNanos(40)));
            queue.offer((clock, nowNanos) -> {
                longest.complete(queue.takeLongestWaitNanos());
                afterwards.complete(queue.takeLongestWaitNanos());
            });
        });

        assertThat(longest.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(TimeUnit.MILLISECONDS.toNanos(40)));
        assertThat(afterwards.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(0L));
    }
}
