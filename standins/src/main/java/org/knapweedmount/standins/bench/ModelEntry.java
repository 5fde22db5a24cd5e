package org.knapweedmount.standins.bench;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.Dispatcher;
import org.knapweedmount.core.dispatch.JobRequest;
import org.knapweedmount.core.dispatch.JobResult;
import org.knapweedmount.core.evacuation.DataCentreAccess;

/** An entry with its dispatcher. */
final class ModelEntry implements DispatchOutput {
    private static final double TICK_MILLIS = 25;

    private final SiteModel site;
    private final Incarnation self;
    private final Dispatcher dispatcher = new Dispatcher(this, new DataCentreAccess());

    ModelEntry(SiteModel site, Incarnation self) {
        this.site = site;
        this.self = self;
        site.time().every(TICK_MILLIS, () -> run(() -> dispatcher.tick(now())));
    }

    private long now() {
        return site.time().nanos();
    }

    private void run(Runnable event) {
        site.entries().run(event);
    }

    void agentLinked(Incarnation agent) {
        run(() -> dispatcher.agentLinked(agent, now()));
    }

    void entryLinked(Incarnation entry) {
        run(() -> dispatcher.entryLinked(entry, now()));
    }

    void receive(Incarnation from, Message message) {
        dispatcher.receive(from, message, now());
    }

    void submit(JobRequest request) {
        run(() -> dispatcher.submit(request, now()));
    }

    @Override
    public void send(Incarnation peer, Message message) {
        site.send(self, peer, message);
    }

    @Override
    public void answer(String job, JobResult result) {
        site.answered(job, result);
    }

    @Override
    public void logEvent(String event, String detail) {
        // The log is written by a thread of its own, whose cost is not part of the model.
    }
}
