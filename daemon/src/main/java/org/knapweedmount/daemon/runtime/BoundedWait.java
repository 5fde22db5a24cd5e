package org.knapweedmount.daemon.runtime;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;

/** Waits during a stop for what has to end, but not longer than the stop may take. */
public final class BoundedWait {
    private BoundedWait() {}

    /**
     * Waits for an end, and logs what is left if it fails or does not come in time.
     *
     * @param what what has to end, for the log
     * @param ended its end
     * @param limitMillis the maximum duration, in ms
     * @param log receives a line {@code stop-incomplete} if something is left
     * @param clock the clock of the log
     * @throws InterruptedException if the thread is interrupted
     */
    public static void await(String what, Future<Void> ended, int limitMillis, DecisionLog log, NanoClock clock)
            throws InterruptedException {
        try {
            ended.toCompletionStage().toCompletableFuture().get(limitMillis, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            log.logEvent("stop-incomplete", "left=\"" + what + "\" cause=" + e, clock.nanos());
        }
    }
}
