package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.Demand;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.FlowDemand;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Release;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/** An agent with two entries and one service with two kinds, driven step by step by a test. */
final class AgentFixture {
    static final String SERVICE = "dues";
    static final Incarnation E1 = new Incarnation("entry-1", 1);
    static final Incarnation E2 = new Incarnation("entry-2", 2);
    static final Flow BALANCE = new Flow("balance", "gate");
    static final Flow SETTLEMENT = new Flow("settlement", "office");
    static final TaskResult COMPLETED = TaskResult.complete(200, "text/plain", Payload.of("done"));
    static final TaskResult FAILED = TaskResult.of(Outcome.FAILED, Reason.TASK_FAILED);
    static final TaskResult UNREACHABLE = TaskResult.of(Outcome.NOT_RUN, Reason.ENDPOINT_UNREACHABLE);
    static final int TTL_MILLIS = 3_600_000;

    final ConfigState config = new ConfigState();
    final RecordingOutput output = new RecordingOutput();
    final Counters<AgentCounter> counters = new Counters<>(AgentCounter.class);
    final AgentCore agent;
    long now;

    private final Map<Incarnation, Long> sequences = new HashMap<>();
    private long tickets;
    private long submissions;

    AgentFixture() {
        this(AgentLimits.DEFAULT);
    }

    AgentFixture(AgentLimits limits) {
        PeerAddress self = new PeerAddress(new Incarnation("agent-1", 9), Role.AGENT, "rennes", "127.0.0.1", 0);
        agent = new AgentCore(limits, self, config, output, counters, Invariants.fatal());
        configure(
                new ServiceConfig(SERVICE, "balance", 1_000, 0),
                kind("balance", true, 1, Resources.NONE),
                kind("settlement", false, 1, Resources.NONE),
                new TeamConfig("gate", 1, 1),
                new TeamConfig("office", 1, 1));
    }

    static KindConfig kind(String name, boolean shortTask, double weight, Resources need) {
        return new KindConfig(name, SERVICE, true, shortTask, weight, 100, 10_000, need);
    }

    void configure(ConfigObject... objects) {
        config.apply(new Ticket(++tickets, "ana", List.of(objects)));
        agent.configChanged(now);
    }

    void announce(String id, int slots) {
        announce(new EndpointAnnouncement(id, SERVICE, "127.0.0.1", 80, slots, 64, TTL_MILLIS, Resources.NONE));
    }

    void announce(EndpointAnnouncement endpoint) {
        agent.endpointAnnounced(endpoint, now);
    }

    void link(Incarnation... entries) {
        for (Incarnation entry : entries) {
            agent.linked(new PeerAddress(entry, Role.ENTRY, "rennes", "127.0.0.1", 7101), now);
        }
    }

    void advance(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
        agent.tick(now);
    }

    void receive(Incarnation from, Message message) {
        agent.receive(from, message, now);
    }

    void end(TaskId task, TaskResult result) {
        agent.taskEnded(task, result, now);
    }

    /** Removes and returns the numbers of the leases granted to an entry since the last call. */
    List<Long> leases(Incarnation entry) {
        List<Long> leases = new ArrayList<>();
        grants(entry).forEach(grant -> leases.addAll(numbers(grant)));
        return leases;
    }

    /** Removes and returns the grants to an entry since the last call, including those sent with results. */
    List<Grant> grants(Incarnation entry) {
        List<Grant> grants = new ArrayList<>();
        for (Message message : output.take(entry)) {
            if (message instanceof Grant grant) {
                grants.add(grant);
            } else if (message instanceof Finished finished) {
                finished.next().ifPresent(grants::add);
            }
        }
        return grants;
    }

    static List<Long> numbers(Grant grant) {
        List<Long> numbers = new ArrayList<>();
        for (int i = 0; i < grant.count(); i++) {
            numbers.add(grant.firstLease() + i);
        }
        return numbers;
    }

    TaskId newTask(Incarnation entry) {
        return new SubmissionId(entry, ++submissions, 1).task(0);
    }

    static TaskSpec spec(String kind) {
        return new TaskSpec(kind, "GET", "/", "", Payload.EMPTY, 0, Resources.NONE);
    }

    /** Creates the start message with the next sequence number of an entry. */
    Start start(Incarnation entry, long lease, TaskId task, Flow flow, int queued) {
        long sequence = sequences.merge(entry, 1L, Long::sum);
        return new Start(sequence, lease, task, SERVICE, flow.team(), spec(flow.kind()), queued, 0);
    }

    /** Sends the start of a new task from an entry. */
    TaskId send(Incarnation entry, long lease, Flow flow, int queued) {
        TaskId task = newTask(entry);
        receive(entry, start(entry, lease, task, flow, queued));
        return task;
    }

    long sequence(Incarnation entry) {
        return sequences.getOrDefault(entry, 0L);
    }

    void demand(Incarnation entry, Flow flow, int queued) {
        demand(entry, Map.of(flow, queued));
    }

    void demand(Incarnation entry, Map<Flow, Integer> queued) {
        List<FlowDemand> flows = new ArrayList<>();
        queued.forEach((flow, tasks) -> flows.add(new FlowDemand(flow, tasks, 0)));
        receive(entry, new Demand(SERVICE, flows));
    }

    void release(Incarnation entry, List<Long> leases) {
        receive(entry, new Release(SERVICE, leases));
    }
}
