package org.knapweedmount.daemon.http;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntSupplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.knapweedmount.daemon.runtime.NanoClock;

/**
 * Closes an HTTP server so that each request that callers have sent is answered first.
 *
 * <p>A request is lost if its connection is closed, or the process ends, while it waits in the socket. An event loop that
 * is behind has such requests although it knows of none. So both steps are taken right after a turn of the event loop that
 * was short: it has read all that had arrived before the turn.
 *
 * <p>Confined to the event loop of the server.
 */
public final class GracefulShutdown {
    /** The maximum duration of a turn, in ms; a request that is sent during one may be lost, after that time at most. */
    private static final int MAX_TURN_MILLIS = 50;

    /**
     * The number of short turns before the server stops: a connection that is registered in one turn is read in the next
     * one only, and would be closed as one without a request.
     */
    private static final int TURNS_BEFORE_SHUTDOWN = 2;

    /** The delay of a timer that is due in the next turn, after the sockets are read. */
    private static final int NEXT_TURN_MILLIS = 1;

    private final Vertx vertx;
    private final NanoClock clock;
    private final HttpServer server;
    private final IntSupplier unanswered;
    private final Promise<Void> ended = Promise.promise();

    /**
     * Creates a shutdown that has not begun.
     *
     * @param vertx provides the timers
     * @param clock the clock by which turns of the event loop are measured
     * @param server the server
     * @param unanswered returns the number of requests that were read and whose answers are not written yet
     */
    public GracefulShutdown(Vertx vertx, NanoClock clock, HttpServer server, IntSupplier unanswered) {
        this.vertx = vertx;
        this.clock = clock;
        this.server = server;
        this.unanswered = unanswered;
    }

    /**
     * Accepts no more connections, and closes each one when it has no request.
     *
     * @param limitMillis the time after which connections are closed anyway, in ms
     * @return completes when each request that was read is answered; fails with a {@link TimeoutException} after the limit
     */
    public Future<Void> begin(int limitMillis) {
        vertx.setTimer(
                Math.max(1, limitMillis),
                timer -> ended.tryFail(new TimeoutException(
                        unanswered.getAsInt() + " requests were not answered within " + limitMillis + " ms")));
        afterShortTurns(TURNS_BEFORE_SHUTDOWN, TURNS_BEFORE_SHUTDOWN, () -> {
            server.shutdown(limitMillis, TimeUnit.MILLISECONDS);
            endWhenAnswered();
        });
        return ended.future();
    }

    private void endWhenAnswered() {
        afterShortTurns(1, 1, () -> {
            if (unanswered.getAsInt() == 0) {
                ended.tryComplete();
            } else if (!ended.future().isComplete()) {
                endWhenAnswered();
            }
        });
    }

    /** Runs a step after a number of short turns without a longer one between them, of which some are left. */
    private void afterShortTurns(int turns, int left, Runnable step) {
        long startNanos = clock.nanos();
        vertx.setTimer(NEXT_TURN_MILLIS, timer -> {
            boolean isShort = clock.nanos() - startNanos <= TimeUnit.MILLISECONDS.toNanos(MAX_TURN_MILLIS);
            if (isShort && left == 1) {
                step.run();
            } else {
                afterShortTurns(turns, isShort ? left - 1 : turns, step);
            }
        });
    }
}
