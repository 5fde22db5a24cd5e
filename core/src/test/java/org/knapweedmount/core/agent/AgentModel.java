package org.knapweedmount.core.agent;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Flow;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.TaskResult;
import org.knapweedmount.api.TaskSpec;
import org.knapweedmount.api.config.ConfigObject;
import org.knapweedmount.api.config.DrainConfig;
import org.knapweedmount.api.config.RemovedConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.Heartbeat;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.NotStarted;
import org.knapweedmount.api.message.Resume;
import org.knapweedmount.api.message.Resumed;
import org.knapweedmount.api.message.Seal;
import org.knapweedmount.api.message.Sealed;
import org.knapweedmount.api.message.Start;
import org.knapweedmount.api.message.TaskReport;
import org.knapweedmount.api.message.TaskState;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** An agent with model endpoints, entries and lossy links, which checks every action of the agent. */
final class AgentModel implements AgentOutput {
    private static final Flow[] FLOWS = {AgentFixture.BALANCE, AgentFixture.SETTLEMENT};
    private static final String[] ENDPOINTS = {"a", "b"};
    private static final int SLOTS = 3;
    private static final DrainConfig DRAIN = new DrainConfig("agent-1");
    private static final AgentLimits LIMITS = new AgentLimits(4, 600, 6, 1_500, 3, 500);
    private static final TaskResult[] RESULTS = {
        AgentFixture.COMPLETED,
        AgentFixture.FAILED,
        AgentFixture.UNREACHABLE,
        TaskResult.of(Outcome.UNKNOWN, Reason.CONNECTION_LOST)
    };

    private final ConfigState config = new ConfigState();
    private final AgentCore agent;
    private final List<EntryModel> entries = new ArrayList<>();
    private final Set<String> announced = new HashSet<>();
    private final Map<TaskId, String> running = new LinkedHashMap<>();
    private final Map<SubmissionId, Set<TaskId>> startedTasks = new HashMap<>();
    private final Set<SubmissionId> sealed = new HashSet<>();
    private long tickets;
    private long nonces;
    private long requests;
    private long now;

    AgentModel() {
        PeerAddress self = new PeerAddress(new Incarnation("agent-1", 9), Role.AGENT, "rennes", "127.0.0.1", 0);
        Counters<AgentCounter> counters = new Counters<>(AgentCounter.class);
        agent = new AgentCore(LIMITS, self, config, this, counters, Invariants.fatal());
        configure(new ServiceConfig(AgentFixture.SERVICE, "balance", 1_000, 0.2));
        configure(AgentFixture.kind("balance", true, 2, Resources.NONE));
        configure(AgentFixture.kind("settlement", false, 1, Resources.NONE));
        entries.add(new EntryModel(new Incarnation("entry-1", ++nonces)));
        entries.add(new EntryModel(new Incarnation("entry-2", ++nonces)));
        entries.forEach(this::link);
        announce(ENDPOINTS[0]);
    }

    /** Performs one action selected by a number; most actions are ordinary work, some are faults. */
    void applyChoice(int choice) {
        int argument = choice / 40;
        EntryModel entry = entries.get(argument % entries.size());
        int rest = argument / entries.size();
        switch (choice % 40) {
            case 0, 1, 2, 3, 4, 5 -> entry.submit(FLOWS[rest % FLOWS.length], 1 + rest % 3);
            case 6 -> link(entry);
            case 7 -> unlink(entry, rest % 8);
            case 8, 9 -> repeatStart(entry, rest);
            case 10, 11, 12 -> seal(entry, rest);
            case 13 -> entry.setPaused(rest % 3 == 0);
            case 14 -> changeEndpoint(rest);
            case 15 -> changeConfig(rest);
            case 16 -> advance(1 + rest % 2_000);
            case 17, 18 -> advance(1 + rest % 100);
            case 19, 20, 21, 22, 23 -> endTask(rest);
            case 24, 25, 26, 27, 28, 29, 30 -> processMessages(entry);
            default -> deliver(entry, 1 + rest % 8);
        }
    }

    private void changeEndpoint(int choice) {
        String id = ENDPOINTS[choice % 2];
        if (choice / 2 % 2 == 0) {
            announced.remove(id);
            agent.endpointLeft(id, now);
            return;
        }
        announce(id);
    }

    private void announce(String id) {
        announced.add(id);
        agent.endpointAnnounced(
                new EndpointAnnouncement(
                        id, AgentFixture.SERVICE, "127.0.0.1", 80, SLOTS, 64, 3_600_000, Resources.NONE),
                now);
    }

    private void changeConfig(int choice) {
        switch (choice % 8) {
            case 0 -> configure(DRAIN);
            case 1 -> configure(new TeamConfig("gate", 1, 0.5));
            case 2 -> configure(new TeamConfig("gate", 1, 1));
            default -> configure(new RemovedConfig(DRAIN.key()));
        }
    }

    private void configure(ConfigObject object) {
        config.apply(new Ticket(++tickets, "ana", List.of(object)));
        agent.configChanged(now);
    }

    private void link(EntryModel entry) {
        if (entry.linked) {
            return;
        }
        entry.linked();
        agent.linked(new PeerAddress(entry.id, Role.ENTRY, "rennes", "127.0.0.1", 7101), now);
    }

    /** Closes a link after delivering a number of pending messages; the number 7 also restarts the entry. */
    private void unlink(EntryModel entry, int arriving) {
        if (!entry.linked) {
            return;
        }
        deliver(entry, arriving);
        entry.unlinked();
        agent.unlinked(entry.id, now);
        if (arriving == 7) {
            entries.set(entries.indexOf(entry), new EntryModel(new Incarnation(entry.id.process(), ++nonces)));
        }
    }

    private void deliver(EntryModel entry, int count) {
        for (int i = 0; i < count && !entry.toAgent.isEmpty(); i++) {
            agent.receive(entry.id, entry.toAgent.remove(), now);
        }
    }

    private void processMessages(EntryModel entry) {
        if (!entry.paused && entry.linked) {
            entry.processMessages();
        }
    }

    /** Repeats a start that was received or lost, unless the ordering of the link rules out its arrival now. */
    private void repeatStart(EntryModel entry, int choice) {
        if (!entry.linked || entry.sent.isEmpty()) {
            return;
        }
        Start start = entry.sent.get(choice % entry.sent.size());
        boolean inFlight =
                entry.toAgent.contains(start) || entry.toAgent.stream().anyMatch(Resume.class::isInstance);
        if (!inFlight) {
            agent.receive(entry.id, start, now);
        }
    }

    private void seal(EntryModel by, int choice) {
        EntryModel issuer = entries.get(choice % entries.size());
        if (by.linked && !issuer.submissions.isEmpty()) {
            int index = choice / entries.size() % issuer.submissions.size();
            agent.receive(by.id, new Seal(++requests, issuer.submissions.get(index)), now);
        }
    }

    private void endTask(int choice) {
        if (running.isEmpty()) {
            return;
        }
        TaskId task = List.copyOf(running.keySet()).get(choice % running.size());
        endTask(task, RESULTS[choice % RESULTS.length]);
    }

    private void endTask(TaskId task, TaskResult result) {
        running.remove(task);
        if (result.outcome() == Outcome.NOT_RUN) {
            startedTasks.get(task.submission()).remove(task);
        }
        agent.taskEnded(task, result, now);
    }

    private void advance(int millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
        for (EntryModel entry : entries) {
            if (entry.linked && !entry.paused) {
                agent.receive(entry.id, new Heartbeat(0), now);
            }
        }
        agent.tick(now);
    }

    /** Ends all faults, lets time pass, and checks that every entry has received its answers. */
    void recoverAndCheck() {
        configure(new RemovedConfig(DRAIN.key()));
        for (String id : ENDPOINTS) {
            announce(id);
        }
        for (int round = 0; round < 150; round++) {
            for (EntryModel entry : entries) {
                entry.setPaused(false);
                link(entry);
                deliver(entry, Integer.MAX_VALUE);
                processMessages(entry);
            }
            List.copyOf(running.keySet()).forEach(task -> endTask(task, AgentFixture.COMPLETED));
            advance(100);
        }
        for (EntryModel entry : entries) {
            assertThat(entry.toString(), entry.idle(), is(true));
        }
        assertThat(agent.idle(), is(true));
    }

    @Override
    public void start(String endpoint, TaskId task, TaskSpec spec) {
        assertThat("endpoint is announced", announced.contains(endpoint), is(true));
        long busy = running.values().stream().filter(endpoint::equals).count();
        assertThat("tasks on an endpoint", busy, is(lessThan((long) SLOTS)));
        assertThat("sealed", sealed.contains(task.submission()), is(false));
        boolean first = startedTasks
                .computeIfAbsent(task.submission(), id -> new HashSet<>())
                .add(task);
        assertThat("first run of " + task, first, is(true));
        running.put(task, endpoint);
    }

    @Override
    public void stop(String endpoint, TaskId task) {}

    @Override
    public void send(Incarnation to, Message message) {
        if (message instanceof Sealed answer) {
            checkSealed(answer);
        } else if (message instanceof Resumed answer) {
            answer.tasks().forEach(this::checkReport);
        } else if (message instanceof NotStarted answer) {
            assertThat("ran: " + answer, hasRun(answer.task()), is(false));
        }
        for (EntryModel entry : entries) {
            if (entry.id.equals(to) && entry.linked) {
                entry.fromAgent.add(message);
            }
        }
    }

    private boolean hasRun(TaskId task) {
        return startedTasks.getOrDefault(task.submission(), Set.of()).contains(task);
    }

    private void checkSealed(Sealed answer) {
        answer.tasks().forEach(this::checkReport);
        if (answer.certain()) {
            Set<TaskId> reported = new HashSet<>();
            answer.tasks().forEach(report -> reported.add(report.task()));
            assertThat("started tasks", reported, is(startedTasks.getOrDefault(answer.submission(), Set.of())));
            sealed.add(answer.submission());
        }
    }

    private void checkReport(TaskReport report) {
        TaskId task = report.task();
        if (report.state() == TaskState.FORGOTTEN) {
            return;
        }
        assertThat("ran: " + report, hasRun(task), is(report.state() != TaskState.NOT_STARTED));
        assertThat("runs: " + report, running.containsKey(task), is(report.state() == TaskState.RUNNING));
    }
}
