package org.knapweedmount.daemon.dispatch;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.core.dispatch.CancelResult;
import org.knapweedmount.core.dispatch.JobResult;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.NodeSettings;

class DispatchEntryTest {
    private static final int WAIT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final DispatchEntry entry = new DispatchEntry(
            new NodeSettings("entry", "region", "data-centre", "127.0.0.1", 1, List.of(), 100),
            vertx,
            NanoClock.SYSTEM,
            new NoCallers());

    @AfterEach
    void closeVertx() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    // Without the limit, an entry of a site without workers would never accept callers, who are to be refused.
    @Test
    void theWaitForTheFirstWorkerEndsWithoutOne() throws Exception {
        entry.readyWithin(1).toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private static final class NoCallers implements JobAnswerHandler {
        @Override
        public void answer(String job, JobResult result) {
            throw new AssertionError("no job is submitted");
        }

        @Override
        public void answerCancel(String job, CancelResult result) {
            throw new AssertionError("no job is cancelled");
        }

        @Override
        public int unanswered() {
            return 0;
        }

        @Override
        public long lastRequestNanos() {
            return 0;
        }

        @Override
        public Future<Void> shutdown(int limitMillis) {
            return Future.succeededFuture();
        }
    }
}
