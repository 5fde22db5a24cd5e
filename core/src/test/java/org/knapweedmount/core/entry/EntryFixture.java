package org.knapweedmount.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.Payload;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.Finished;
import org.knapweedmount.api.message.Grant;
import org.knapweedmount.api.message.LeaseScope;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/** An entry with a recorded output and a clock that tests advance. */
final class EntryFixture {
    static final String SERVICE = "stock";
    static final String TEAM = "depot";
    static final String LOOKUP = "lookup";
    static final String RESERVE = "reserve";
    static final Flow LOOKUPS = new Flow(LOOKUP, TEAM);
    static final Flow RESERVATIONS = new Flow(RESERVE, TEAM);
    static final PeerAddress SELF = entryAddress("entry-1");
    static final EntryLimits LIMITS = new EntryLimits(1_000, 100_000, 50, 100, 100_000, 1_500, 5_000, 3_000, 0.1);
    private static final long NANOS_PER_MILLI = 1_000_000;

    final ConfigState config = new ConfigState();
    final RecordingOutput output = new RecordingOutput();
    final Counters<EntryCounter> counters = new Counters<>(EntryCounter.class);
    final EntryCore core;
    long now = 1_000 * NANOS_PER_MILLI;
    private long lastRequest;
    private long lastLease;
    private long lastTicket;

    EntryFixture() {
        this(LIMITS);
    }

    EntryFixture(EntryLimits limits) {
        core = new EntryCore(limits, SELF, config, output, counters, Invariants.fatal(), 1);
        configure(new ServiceConfig(SERVICE, LOOKUP, 1_000, 0.25));
        configure(new KindConfig(LOOKUP, SERVICE, true, true, 1, 100, 1_000, Resources.NONE));
        configure(new KindConfig(RESERVE, SERVICE, false, false, 1, 100, 1_000, Resources.NONE));
        configure(new TeamConfig(TEAM, 1, 1));
    }

    static PeerAddress entryAddress(String name) {
        return new PeerAddress(new Incarnation(name, 1), Role.ENTRY, "rennes", "127.0.0.1", 7101);
    }

    static PeerAddress agentAddress(String name) {
        return new PeerAddress(new Incarnation(name, 1), Role.AGENT, "rennes", "127.0.0.1", 0);
    }

    void configure(ConfigObject object) {
        config.apply(new Ticket(++lastTicket, "ana", List.of(object)));
        core.configChanged(now);
    }

    void advance(long millis) {
        now += millis * NANOS_PER_MILLI;
        core.tick(now);
    }

    /** Links an agent with some slots. */
    Incarnation agent(String name, int slots) {
        PeerAddress address = agentAddress(name);
        core.linked(address, now);
        receive(address.incarnation(), new Capacity(SERVICE, slots, Resources.NONE));
        return address.incarnation();
    }

    void receive(Incarnation from, Message message) {
        core.receive(from, message, now);
    }

    /** Grants leases that any flow may use and returns the number of the first. */
    long grant(Incarnation agent, int count) {
        return grant(agent, count, LeaseScope.ANY, Optional.empty(), 0);
    }

    long grant(Incarnation agent, int count, LeaseScope scope, Optional<Flow> flow, int otherIdleSlots) {
        long first = lastLease + 1;
        lastLease += count;
        receive(agent, new Grant(SERVICE, first, count, scope, flow, otherIdleSlots));
        return first;
    }

    static TaskSpec task(String kind, String body) {
        return new TaskSpec(kind, "POST", "/", "text/plain", Payload.of(body), 0, Resources.NONE);
    }

    static JobSpec job(String kind, String... bodies) {
        List<TaskSpec> tasks = new ArrayList<>();
        for (String body : bodies) {
            tasks.add(task(kind, body));
        }
        return new JobSpec(TEAM, false, tasks);
    }

    SubmissionId issue() {
        return core.issue(1).get(0);
    }

    /** Submits a job without an ID and returns the number of the request. */
    long submit(JobSpec job) {
        return submit(Optional.empty(), Optional.empty(), false, job);
    }

    long submit(SubmissionId id, JobSpec job) {
        return submit(Optional.of(id), Optional.empty(), false, job);
    }

    long submit(Optional<SubmissionId> id, Optional<String> key, boolean firstAttempt, JobSpec job) {
        long request = ++lastRequest;
        core.submit(request, new SubmissionRequest(id, key, firstAttempt, SERVICE, job, true), now);
        return request;
    }

    long status(SubmissionId id, boolean awaitEnd) {
        long request = ++lastRequest;
        core.status(request, id, awaitEnd, now);
        return request;
    }

    long cancel(SubmissionId id) {
        long request = ++lastRequest;
        core.cancel(request, id, now);
        return request;
    }

    List<Start> starts() {
        return output.all(Start.class);
    }

    Start lastStart() {
        List<Start> starts = starts();
        return starts.get(starts.size() - 1);
    }

    static TaskResult complete(String body) {
        return TaskResult.complete(200, "text/plain", Payload.of(body));
    }

    static TaskResult failed(int status) {
        return new TaskResult(Outcome.FAILED, Reason.TASK_FAILED, status, "", Payload.EMPTY);
    }

    void finish(Incarnation agent, Start start, TaskResult result) {
        receive(agent, new Finished(start.task(), 100_000, result, Optional.empty()));
    }

    void deny(Incarnation agent, Start start, Reason reason) {
        receive(agent, new NotStarted(start.task(), start.sequence(), reason));
    }

    boolean answered(long request) {
        return output.answers.containsKey(request);
    }

    JobAnswer answer(long request) {
        return Optional.ofNullable(output.answers.get(request)).orElseThrow();
    }

    /** Returns the outcome and reason of an answer, as in {@code NOT_RUN/OVERLOADED}. */
    String outcomeAndReason(long request) {
        JobAnswer answer = answer(request);
        return answer.outcome().map(Outcome::name).orElse("PENDING") + "/" + answer.reason();
    }
}
