package org.knapweedmount.daemon.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Vertx;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.ConfigApplied;
import org.knapweedmount.api.message.ConfigUpdate;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.daemon.link.LinkHandler;
import org.knapweedmount.daemon.link.LinkOptions;
import org.knapweedmount.daemon.link.LinkTable;
import org.knapweedmount.daemon.runtime.DecisionLoop;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.settings.HostPort;

/** An agent that echoes the body of each task in its result and counts the starts. */
final class EchoAgent implements LinkHandler<EchoAgent> {
    static final String FAILING_PATH = "/refund";
    static final int HEARTBEAT_MILLIS = 2_000;
    private static final int LEASES = 100;
    private static final int STATUS_OK = 200;
    private static final int STATUS_FAILED = 422;

    private final DecisionLoop<EchoAgent> loop = new DecisionLoop<>("echo-agent", 1_024, NanoClock.SYSTEM);
    private final AtomicInteger starts = new AtomicInteger();
    private final AtomicLong appliedNumber = new AtomicLong();
    private final LinkTable<EchoAgent> links;
    private final String service;

    EchoAgent(Vertx vertx, String service, List<HostPort> entries) {
        this(vertx, PeerAddress.DEFAULT_REGION, service, entries);
    }

    static EchoAgent inRegion(Vertx vertx, String region, String service, HostPort entry) {
        return new EchoAgent(vertx, region, service, List.of(entry));
    }

    private EchoAgent(Vertx vertx, String region, String service, List<HostPort> entries) {
        this.service = service;
        Incarnation incarnation = new Incarnation("agent-1", 1);
        PeerAddress self = new PeerAddress(incarnation, Role.AGENT, region, "bilbao", "127.0.0.1", 0);
        LinkOptions options = LinkOptions.agent(HEARTBEAT_MILLIS, 1);
        this.links = new LinkTable<>(vertx, options, self, appliedNumber::get, NanoClock.SYSTEM, role -> loop, this);
        loop.start(this);
        entries.forEach(links::dial);
    }

    int starts() {
        return starts.get();
    }

    void close() throws Exception {
        links.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        loop.close();
    }

    @Override
    public void linked(EchoAgent agent, PeerAddress peer, long nowNanos) {
        links.send(peer.incarnation(), new Capacity(service, LEASES, Resources.NONE));
        links.send(peer.incarnation(), new Grant(service, 1, LEASES, LeaseScope.ANY, Optional.empty(), 0));
    }

    private static TaskResult result(TaskSpec spec) {
        return spec.path().equals(FAILING_PATH)
                ? new TaskResult(Outcome.FAILED, Reason.TASK_FAILED, STATUS_FAILED, "text/plain", spec.body())
                : TaskResult.complete(STATUS_OK, "text/plain", spec.body());
    }

    @Override
    public void unlinked(EchoAgent agent, Incarnation peer, long nowNanos) {}

    @Override
    public void received(EchoAgent agent, Incarnation from, Message message, long nowNanos) {
        if (message instanceof Start start) {
            starts.incrementAndGet();
            links.send(from, new Finished(start.task(), 1_000, result(start.spec()), Optional.empty()));
        } else if (message instanceof ConfigUpdate update) {
            update.tickets().forEach(ticket -> apply(from, ticket.number()));
        }
    }

    private void apply(Incarnation from, long number) {
        appliedNumber.accumulateAndGet(number, Math::max);
        links.send(from, new ConfigApplied(number));
    }
}
