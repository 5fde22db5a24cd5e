package org.knapweedmount.daemon.entry;

import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.knapweedmount.daemon.http.HttpFault;
import org.knapweedmount.daemon.http.HttpResponse;
import org.knapweedmount.daemon.http.Problem;
import org.knapweedmount.daemon.http.ProblemWriter;
import org.knapweedmount.daemon.runtime.DecisionQueue;
import org.knapweedmount.daemon.ticket.EntryControl;

/** Status and drain of this entry for operators. */
final class LocalEntryControl implements EntryControl {
    private final DecisionQueue<EntryModule> queue;
    private final StatusWriter writer;
    private final EntryDrain drain;
    private final Runnable exit;
    private final AtomicBoolean exiting = new AtomicBoolean();

    LocalEntryControl(DecisionQueue<EntryModule> queue, StatusWriter writer, EntryDrain drain, Runnable exit) {
        this.queue = queue;
        this.writer = writer;
        this.drain = drain;
        this.exit = exit;
    }

    @Override
    public Future<HttpResponse> status() {
        Promise<HttpResponse> promise = Promise.promise();
        boolean offered = queue.offer((module, nowNanos) ->
                promise.complete(writer.write(module.core().status(nowNanos), module.distributor())));
        if (!offered) {
            Problem busy = Problem.of(HttpFault.UNAVAILABLE, "the queue of the decision thread is full");
            promise.complete(ProblemWriter.write(busy));
        }
        return promise.future();
    }

    @Override
    public void drain() {
        drain.begin();
        if (exiting.compareAndSet(false, true)) {
            new Thread(exit, "exit").start();
        }
    }
}
