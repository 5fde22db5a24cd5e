package org.knapweedmount.standins.bench;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.core.worker.ProcessStart;
import org.knapweedmount.core.worker.StartReply;
import org.knapweedmount.core.worker.StopReply;
import org.knapweedmount.core.worker.WorkerAgent;
import org.knapweedmount.core.worker.WorkerIncarnation;
import org.knapweedmount.core.worker.WorkerOutput;

/** An agent with its worker. */
final class ModelAgent implements WorkerOutput {
    private static final double TICK_MILLIS = 40;
    private static final double ANNOUNCEMENT_MILLIS = 1_500;

    private final SiteModel site;
    private final Incarnation self;
    private final ModelWorker worker;
    private final WorkerAgent agent;

    ModelAgent(SiteModel site, Incarnation self) {
        this.site = site;
        this.self = self;
        this.worker = new ModelWorker(site.time(), "i-" + self.process());
        this.agent = new WorkerAgent(
                this, new ProcessStart(site.time().nanos(), site.time().millis()));
        site.time().every(TICK_MILLIS, () -> run(() -> agent.tick(now())));
        announce();
        site.time().every(ANNOUNCEMENT_MILLIS, this::announce);
    }

    private void announce() {
        run(() -> agent.announced(worker.announcement(), now()));
    }

    private long now() {
        return site.time().nanos();
    }

    private void run(Runnable event) {
        site.agents().run(event);
    }

    void linked(Incarnation entry) {
        run(() -> agent.linked(entry, now()));
    }

    void receive(Incarnation from, Message message) {
        agent.receive(from, message, now());
    }

    @Override
    public void send(Incarnation entry, Message message) {
        site.send(self, entry, message);
    }

    @Override
    public void start(
            WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long leaseExpiryMillis) {
        worker.start(
                request, () -> run(() -> agent.startAnswered(incarnation, request.ref(), StartReply.STARTED, now())));
    }

    @Override
    public void stop(WorkerIncarnation incarnation, RunRef run, long fence) {
        worker.stop(run, () -> run(() -> agent.stopAnswered(incarnation, run, StopReply.CONFIRMED, now())));
    }

    @Override
    public void list(
            WorkerIncarnation incarnation,
            long fence,
            long acknowledged,
            long leaseExpiryMillis,
            long sentNanos,
            int waitMillis) {
        worker.list(
                acknowledged, waitMillis, list -> run(() -> agent.listAnswered(incarnation, sentNanos, list, now())));
    }

    @Override
    public void logEvent(String event, String detail) {
        // The log is written by a thread of its own, whose cost is not part of the model.
    }
}
