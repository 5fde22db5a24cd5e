package org.knapweedmount.daemon.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.core.event.EventPriority;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class EventLoopDecisionQueueTest {
    private static final int MAX_EVENTS = 16;
    private static final int SLOW_EVENTS = 1_000_000;
    private static final long TIMEOUT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
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

    // Probes of other entries waited behind all requests of callers.
    @Test
    void eventsOfAHigherPriorityAreRunBeforeThoseThatWait() throws Exception {
        queue.start(nanos);
        CompletableFuture<List<String>> done = new CompletableFuture<>();
        List<String> order = new ArrayList<>();
        context.runOnContext(ignored -> {
            queue.offer((clock, nowNanos) -> order.add("request"));
            queue.offer((clock, nowNanos) -> done.complete(order));
            queue.ofPriority(EventPriority.AGENT).offer((clock, nowNanos) -> order.add("report"));
            queue.ofPriority(EventPriority.ENTRY).offer((clock, nowNanos) -> order.add("probe"));
        });

        assertThat(done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), contains("probe", "report", "request"));
    }

    // While events waited, the sockets were not read for up to a second, so that probes were not even found.
    @Test
    void socketsAreReadBetweenTheEventsOfAProcessThatIsBehind() throws Exception {
        queue.start(nanos);
        CompletableFuture<Integer> runWhenRead = new CompletableFuture<>();
        AtomicInteger run = new AtomicInteger();
        NetServer server = vertx.createNetServer();
        server.connectHandler(socket -> socket.handler(chunk -> runWhenRead.complete(run.get())));
        int port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .actualPort();
        NetSocket caller = vertx.createNetClient()
                .connect(port, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        context.runOnContext(ignored -> {
            caller.write("request");
            offerSlowEvents(run);
        });

        assertThat(runWhenRead.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(lessThan(SLOW_EVENTS)));
    }

    /** Offers events of 2 ms, the next one when the last is run. */
    private void offerSlowEvents(AtomicInteger run) {
        queue.offer((clock, nowNanos) -> {
            clock.addAndGet(TimeUnit.MILLISECONDS.toNanos(2));
            if (run.incrementAndGet() < SLOW_EVENTS) {
                offerSlowEvents(run);
            }
        });
    }
}
