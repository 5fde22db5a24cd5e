package org.knapweedmount.daemon.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.daemon.runtime.ProcessEvent;
import org.knapweedmount.daemon.runtime.ProcessLifecycle;
import org.knapweedmount.daemon.runtime.RetryingQueue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EntryDrainTest {
    private static final int UNREACHED_GRACE_MILLIS = 86_400_000;

    private final Vertx vertx = Vertx.vertx();
    private final ProcessLifecycle lifecycle = new ProcessLifecycle(Invariants.fatal());
    private final Readiness readiness = new Readiness(lifecycle, () -> true, () -> "");
    private final CountDownLatch requestsRefused = new CountDownLatch(1);
    private final RetryingQueue<EntryModule> queue = new RetryingQueue<>(vertx, decision -> {
        requestsRefused.countDown();
        return true;
    });

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void readinessFailsBeforeRequestsAreRefused() {
        assertThat(readiness.notReadyReason(), is("this entry is starting"));
        lifecycle.handle(ProcessEvent.STARTED);
        readiness.serving(true);
        assertThat(readiness.notReadyReason(), is(""));

        new EntryDrain(vertx, lifecycle, queue, UNREACHED_GRACE_MILLIS).begin();

        assertThat(readiness.notReadyReason(), is("this entry is draining"));
        assertThat(requestsRefused.getCount(), is(1L));
    }

    @Test
    void requestsAreRefusedAfterTheGracePeriod() throws Exception {
        new EntryDrain(vertx, lifecycle, queue, 1).begin();

        assertThat(requestsRefused.await(20, TimeUnit.SECONDS), is(true));
    }
}
