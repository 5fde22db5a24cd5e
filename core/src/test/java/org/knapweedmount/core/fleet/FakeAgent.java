package org.knapweedmount.core.fleet;

import java.util.HashSet;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.core.agent.AgentCore;
import org.knapweedmount.core.agent.AgentCounter;
import org.knapweedmount.core.agent.AgentLimits;
import org.knapweedmount.core.agent.AgentOutput;
import org.knapweedmount.core.agent.EndpointAnnouncement;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/** An agent with one simulated executor, which runs each task for its declared time and logs each start. */
final class FakeAgent extends FakeProcess implements AgentOutput {
    private static final int CONNECTIONS = 64;
    private static final int TTL_MILLIS = 3_600_000;

    /** The maximum number of seals is so low that older ones are folded into bounds. */
    private static final AgentLimits LIMITS = new AgentLimits(10_000, 3_000_000, 8, 1_500, 5, 2_000);

    private static final double FAILURE_SHARE = 0.02;
    private static final double LOST_CONNECTION_SHARE = 0.01;
    private static final double UNREACHABLE_SHARE = 0.01;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int HTTP_OK = 200;
    private static final int HTTP_ERROR = 500;

    private final Scheduler scheduler;
    private final FakeNetwork network;
    private final FakeFleet fleet;
    private final StartLog log;
    private final AgentCore core;
    private final Set<TaskId> stopped = new HashSet<>();

    FakeAgent(PeerAddress address, ConfigState config, FakeFleet fleet) {
        super(address, fleet.scheduler());
        this.scheduler = fleet.scheduler();
        this.network = fleet.network();
        this.fleet = fleet;
        this.log = fleet.log();
        this.core =
                new AgentCore(LIMITS, address, config, this, new Counters<>(AgentCounter.class), Invariants.fatal());
        EndpointAnnouncement endpoint = new EndpointAnnouncement(
                "executor",
                FakeFleet.SERVICE,
                "127.0.0.1",
                1,
                fleet.site().slots(),
                CONNECTIONS,
                TTL_MILLIS,
                Resources.NONE);
        core.endpointAnnounced(endpoint, scheduler.nowNanos());
    }

    @Override
    public void send(Incarnation entry, Message message) {
        network.send(this, entry, message);
    }

    @Override
    public void start(String endpoint, TaskId task, TaskSpec spec) {
        if (fleet.executorFails(UNREACHABLE_SHARE)) {
            end(task, TaskResult.of(Outcome.NOT_RUN, Reason.ENDPOINT_UNREACHABLE), 0);
            return;
        }
        log.started(spec.path());
        long runNanos = spec.declaredMillis() * NANOS_PER_MILLI;
        if (fleet.executorFails(LOST_CONNECTION_SHARE)) {
            end(task, TaskResult.of(Outcome.UNKNOWN, Reason.CONNECTION_LOST), runNanos / 2);
            return;
        }
        if (fleet.executorFails(FAILURE_SHARE)) {
            TaskResult failed = new TaskResult(Outcome.FAILED, Reason.TASK_FAILED, HTTP_ERROR, "", Payload.EMPTY);
            end(task, failed, runNanos);
            return;
        }
        end(task, TaskResult.complete(HTTP_OK, "text/plain", Payload.of(spec.path())), runNanos);
    }

    private void end(TaskId task, TaskResult result, long afterNanos) {
        scheduler.after(afterNanos + 1, () -> deliver(() -> ended(task, result)));
    }

    private void ended(TaskId task, TaskResult result) {
        boolean wasStopped = stopped.remove(task);
        TaskResult reported = wasStopped ? TaskResult.of(Outcome.FAILED, Reason.CANCELLED) : result;
        core.taskEnded(task, reported, nowNanos());
    }

    @Override
    public void stop(String endpoint, TaskId task) {
        stopped.add(task);
    }

    @Override
    EventHandlers handlers() {
        return new EventHandlers(core::linked, core::unlinked, core::receive, core::tick);
    }

    boolean idle() {
        return core.idle();
    }

    void drain() {
        core.drain(nowNanos());
    }
}
