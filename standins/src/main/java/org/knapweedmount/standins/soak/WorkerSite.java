package org.knapweedmount.standins.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;

/**
 * The workers of a soak and their common clock.
 *
 * <p>All workers are brought to the present before any of them executes an order, so that a pause of this process cannot
 * make a run end later than the worker's own clock says.
 *
 * <p>Confined to one event loop.
 */
final class WorkerSite {
    private static final int TICK_MILLIS = 3;

    private final RunHistory history;
    private final long startNanos = System.nanoTime();
    private final List<SoakWorker> workers = new ArrayList<>();

    WorkerSite(RunHistory history) {
        this.history = history;
    }

    void add(SoakWorker worker) {
        workers.add(worker);
    }

    void start(Vertx vertx) {
        vertx.setPeriodic(TICK_MILLIS, timer -> advance());
    }

    long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Ends all runs that have ended by now. */
    void advance() {
        long millis = nowMillis();
        workers.forEach(worker -> worker.advance(millis));
        workers.forEach(SoakWorker::answerHolds);
    }

    /** Creates a life that starts now, with the time of day and the clock that its VM gives it. */
    WorkerLife createLife(String id, VmClock clock, double clockRate) {
        long startUnixMillis = clock.birthMillis(System.currentTimeMillis());
        return new WorkerLife(id, startUnixMillis, nowMillis(), clock.firstClockMillis(), clockRate, history);
    }
}
