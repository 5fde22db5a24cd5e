package org.knapweedmount.daemon.entry;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.core.metric.Invariants;
import org.knapweedmount.daemon.runtime.ProcessEvent;
import org.knapweedmount.daemon.runtime.ProcessLife;
import org.knapweedmount.daemon.runtime.RetryingQueue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class EntryDrainTest {
    private static final int NEVER_MILLIS = 86_400_000;

    private final Vertx vertx = Vertx.vertx();
    private final ProcessLife life = new ProcessLife(Invariants.fatal());
    private final Readiness readiness = new Readiness(life, () -> true, () -> "");
    private final CountDownLatch refusing = new CountDownLatch(1);
    private final RetryingQueue<EntryModule> queue = new RetryingQueue<>(vertx, decision -> {
        refusing.countDown();
        return true;
    });

    @AfterEach
    void stop() {
        vertx.close();
    }

    @Test
    void balancerIsToldBeforeRequestsAreRefused() {
        assertThat(readiness.notReadyReason(), is("this entry is starting"));
        life.step(ProcessEvent.STARTED);
        readiness.serving(true);
        assertThat(readiness.notReadyReason(), is(""));

        new EntryDrain(vertx, life, queue, NEVER_MILLIS).begin();

        assertThat(readiness.notReadyReason(), is("this entry is draining"));
        assertThat(refusing.getCount(), is(1L));
    }

    @Test
    void requestsAreRefusedAfterTheGrace() throws Exception {
        new EntryDrain(vertx, life, queue, 1).begin();

        assertThat(refusing.await(20, TimeUnit.SECONDS), is(true));
    }
}
