package org.knapweedmount.core.work;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.ClosedDataCentres;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.WorkQueue;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.Dispatcher;
import org.knapweedmount.core.dispatch.JobRequest;
import org.knapweedmount.core.dispatch.JobResult;
import org.knapweedmount.core.dispatch.JobStep;
import org.knapweedmount.core.evacuation.DataCentreAccess;
import org.knapweedmount.core.event.EventPriority;
import org.knapweedmount.core.worker.ProcessStart;
import org.knapweedmount.core.worker.WorkerAgent;
import org.knapweedmount.core.worker.WorkerIncarnation;
import org.knapweedmount.core.worker.WorkerOutput;

/** Simulates entries, agents and workers in virtual time; links can be cut and processes replaced. */
final class WorkFleet {
    static final WorkQueue LOOKUPS = queue("lookups", 0);
    static final WorkQueue MATCHES = queue("matches", 2);
    static final WorkQueue HOLDS = queue("holds", 1);

    private static final double LINK_MILLIS = 0.5;
    private static final double LINK_TIMEOUT_MILLIS = 1_500;

    /** The processor time of a message at its receiver, in ms. */
    private static final double RECEIVE_MILLIS = 0.12;

    /** The processor time of a message at its sender, in ms. */
    private static final double SEND_MILLIS = 0.04;

    /** The processor time of a reply of a worker at its agent, in ms; a run takes two. */
    private static final double CALL_MILLIS = 0.3;

    /** The processor time of the request of a job at its entry, in ms. */
    private static final double JOB_MILLIS = 0.5;

    private final VirtualTime time = new VirtualTime();
    private final InvariantChecker invariants = new InvariantChecker();
    private final long seed;
    private final Random random;
    private final Map<Incarnation, Dispatcher> entries = new LinkedHashMap<>();
    private final Map<Incarnation, DataCentreAccess> accesses = new HashMap<>();
    private final Map<Incarnation, Agent> agents = new LinkedHashMap<>();
    private final List<FakeWorker> workers = new ArrayList<>();
    private final Set<Set<Incarnation>> cutLinks = new HashSet<>();
    private final Map<Incarnation, Map<Incarnation, Long>> openLinks = new HashMap<>();
    private final Map<String, JobResult> results = new LinkedHashMap<>();
    private final Map<String, Long> responseMillis = new HashMap<>();
    private final Map<String, Long> submittedMillis = new HashMap<>();
    private final Map<Class<? extends Message>, Integer> sentMessages = new HashMap<>();
    private final Map<Incarnation, SimulatedProcessor> processors = new HashMap<>();
    private ToDoubleFunction<Incarnation> cores = process -> Double.POSITIVE_INFINITY;
    private long lastNonce;
    private long lastLink;
    private long lastJobNumber;

    private record Agent(WorkerAgent workerAgent, FakeWorker worker, Pause pause) {
        private Agent(WorkerAgent workerAgent, FakeWorker worker) {
            this(workerAgent, worker, new Pause());
        }
    }

    /** What an agent that stands still does when it goes on: first what is left of an event, then what has arrived. */
    private static final class Pause {
        private final Deque<Runnable> held = new ArrayDeque<>();
        private boolean paused;
        private OptionalDouble dueMillis = OptionalDouble.empty();

        /** Runs an action now, or when the pause is over. */
        private void run(Runnable action) {
            if (paused) {
                held.add(action);
            } else {
                action.run();
            }
        }
    }

    WorkFleet(long seed) {
        this.seed = seed;
        this.random = new Random(seed);
    }

    private static WorkQueue queue(String name, int priority) {
        return new WorkQueue(name, "host", "/" + name + "/", "service", priority, 3, 1.6, 60, 1_500, false);
    }

    static WorkFleet of(long seed, int entryCount, int workerCount, int milliCores) {
        WorkFleet fleet = new WorkFleet(seed);
        for (int i = 0; i < workerCount; i++) {
            fleet.addWorker("w" + i, milliCores);
        }
        for (int i = 0; i < entryCount; i++) {
            fleet.startEntry("e" + i);
        }
        fleet.time.run(1_200); // agents open workers that have just started only after 1,072 ms
        return fleet;
    }

    /** Lets processes take time for their events from now on, at their shares of a core. */
    void limitProcessors(ToDoubleFunction<Incarnation> coresOfProcess) {
        cores = coresOfProcess;
        processors.clear();
    }

    /** Changes the share of a core of one process. */
    void limitProcessor(Incarnation process, double share) {
        processor(process).setCores(share);
    }

    private SimulatedProcessor processor(Incarnation process) {
        return processors.computeIfAbsent(process, key -> new SimulatedProcessor(time, cores.applyAsDouble(process)));
    }

    VirtualTime time() {
        return time;
    }

    InvariantChecker invariants() {
        return invariants;
    }

    Random random() {
        return random;
    }

    List<FakeWorker> workers() {
        return workers;
    }

    List<Incarnation> entries() {
        return new ArrayList<>(entries.keySet());
    }

    List<Incarnation> agents() {
        return new ArrayList<>(agents.keySet());
    }

    Map<String, JobResult> results() {
        return results;
    }

    /** Returns the number of messages that were sent so far, by type. */
    Map<Class<? extends Message>, Integer> sentMessages() {
        return Map.copyOf(sentMessages);
    }

    long responseMillis(String job) {
        return responseMillis.get(job);
    }

    private void addWorker(String name, int milliCores) {
        Random firstClocks = new Random(31 * seed + name.hashCode());
        FakeWorker worker =
                new FakeWorker(time, random, firstClocks, name, new Resources(milliCores, 65_536, 0), invariants);
        workers.add(worker);
        startAgent(worker);
    }

    /** Starts an agent for a worker, also as the replacement of a lost one. */
    void startAgent(FakeWorker worker) {
        lastNonce++;
        Incarnation self = new Incarnation("agent-" + worker.name(), lastNonce);
        WorkerAgent workerAgent =
                new WorkerAgent(new AgentPort(self, worker), new ProcessStart(time.nowNanos(), time.nowMillis()));
        agents.put(self, new Agent(workerAgent, worker));
        entries.keySet().forEach(entry -> link(entry, self));
        time.every(20, () -> onAgent(self, 0, agent -> agent.tick(time.nowNanos())));
        worker.atStart(() -> announce(self, worker));
        announce(self, worker);
        time.every(1_500, () -> announce(self, worker));
    }

    private void announce(Incarnation self, FakeWorker worker) {
        worker.announcement()
                .ifPresent(announcement -> onAgent(self, agent -> agent.announced(announcement, time.nowNanos())));
    }

    /** Lets an agent handle an event; one that is to stand still does so before its outputs leave it. */
    private void onAgent(Incarnation self, double millis, Consumer<WorkerAgent> event) {
        processor(self).run(EventPriority.AGENT, millis, () -> onAgent(self, event));
    }

    private void onAgent(Incarnation self, Consumer<WorkerAgent> event) {
        Agent agent = agents.get(self);
        if (agent == null) {
            return;
        }
        if (agent.pause().dueMillis.isPresent() && !agent.pause().paused) {
            double millis = agent.pause().dueMillis.getAsDouble();
            agent.pause().dueMillis = OptionalDouble.empty();
            event.accept(beginPause(agent, self, millis));
            return;
        }
        agent.pause().run(() -> event.accept(agent.workerAgent()));
    }

    private WorkerAgent beginPause(Agent agent, Incarnation self, double millis) {
        agent.pause().paused = true;
        boolean silent = millis > LINK_TIMEOUT_MILLIS;
        if (silent) {
            time.after(LINK_TIMEOUT_MILLIS, () -> entries().forEach(entry -> closeEnd(entry, self)));
        }
        time.after(millis, () -> {
            agent.pause().paused = false;
            while (agents.containsKey(self) && !agent.pause().held.isEmpty()) {
                agent.pause().held.remove().run();
            }
            if (silent) {
                entries().forEach(entry -> closeEnd(self, entry));
                entries().forEach(entry -> link(entry, self));
            }
        });
        return agent.workerAgent();
    }

    /** Lets an agent stand still from within its next event on, after the time of the event was read. */
    void pauseAgent(Incarnation agent, double millis) {
        agents.get(agent).pause().dueMillis = OptionalDouble.of(millis);
    }

    Incarnation startEntry(String name) {
        lastNonce++;
        Incarnation self = new Incarnation(name, lastNonce);
        DataCentreAccess access = new DataCentreAccess();
        accesses.put(self, access);
        Dispatcher dispatcher = new Dispatcher(new EntryPort(self), access);
        List<Incarnation> others = entries();
        entries.put(self, dispatcher);
        dispatcher.startupEntries().started(time.nowNanos());
        dispatcher
                .startupEntries()
                .listed(others.stream().map(Incarnation::process).toList());
        others.forEach(other -> linkEntries(self, other));
        agents.keySet().forEach(agent -> link(self, agent));
        time.every(10, () -> {
            if (entries.containsKey(self)) {
                processor(self).run(EventPriority.ENTRY, 0, () -> dispatcher.tick(time.nowNanos()));
            }
        });
        return self;
    }

    /** Links an agent to an entry, which accepts the link before the agent reads the entry's first message. */
    private void link(Incarnation entry, Incarnation agent) {
        if (!entries.containsKey(entry) || !agents.containsKey(agent)) {
            return;
        }
        lastLink++;
        long number = lastLink;
        openEnd(entry, agent, number);
        accesses.get(entry).agentLinked(new PeerAddress(agent, Role.AGENT, dataCentre(agent), "host", 0));
        sendNotice(entry, agent);
        entries.get(entry).agentLinked(agent, time.nowNanos());
        time.after(LINK_MILLIS, () -> {
            if (!cutLinks.contains(Set.of(entry, agent))) {
                onAgent(agent, workerAgent -> openAgentEnd(workerAgent, entry, agent, number));
            }
        });
    }

    /** Returns the data centre of a worker; the workers are spread over four. */
    static String dataCentre(int worker) {
        return "dc" + worker % 4;
    }

    private static String dataCentre(Incarnation agent) {
        return dataCentre(Integer.parseInt(agent.process().substring("agent-w".length())));
    }

    /** Lets an entry learn which data centres are closed, and tell the agents. */
    void applyOrders(Incarnation entry, ClosedDataCentres closed) {
        accesses.get(entry).apply(closed, time.nowNanos());
        agents.keySet().forEach(agent -> sendNotice(entry, agent));
    }

    private void sendNotice(Incarnation entry, Incarnation agent) {
        accesses.get(entry).noticeFor(agent).ifPresent(notice -> deliver(entry, agent, openEnd(entry, agent), notice));
    }

    private void openAgentEnd(WorkerAgent workerAgent, Incarnation entry, Incarnation agent, long number) {
        if (Objects.equals(openEnd(entry, agent), number)) {
            openEnd(agent, entry, number);
            workerAgent.linked(entry, time.nowNanos());
        }
    }

    private void linkEntries(Incarnation one, Incarnation other) {
        if (!entries.containsKey(one) || !entries.containsKey(other)) {
            return;
        }
        lastLink++;
        openEnd(one, other, lastLink);
        openEnd(other, one, lastLink);
        entries.get(one).entryLinked(other, time.nowNanos());
        entries.get(other).entryLinked(one, time.nowNanos());
    }

    private void openEnd(Incarnation process, Incarnation peer, long number) {
        openLinks.computeIfAbsent(process, key -> new HashMap<>()).put(peer, number);
    }

    /** Returns the number of the link that is open at a process, null if there is none. */
    private Long openEnd(Incarnation process, Incarnation peer) {
        return openLinks.getOrDefault(process, Map.of()).get(peer);
    }

    /** Closes a process's end of a link, if the process lives and the end is open. */
    private void closeEnd(Incarnation process, Incarnation peer) {
        onAgent(process, agent -> {
            if (removeEnd(process, peer)) {
                agent.unlinked(peer, time.nowNanos());
            }
        });
        if (entries.containsKey(process) && removeEnd(process, peer)) {
            entries.get(process).unlinked(peer, time.nowNanos());
        }
    }

    private boolean removeEnd(Incarnation process, Incarnation peer) {
        return openLinks.getOrDefault(process, new HashMap<>()).remove(peer) != null;
    }

    private void closeLinksTo(Incarnation lost) {
        openLinks.remove(lost);
        List.copyOf(openLinks.keySet()).forEach(process -> closeEnd(process, lost));
    }

    /** Delivers a message unless its link is cut or closed by the time of its arrival. */
    private void deliver(Incarnation from, Incarnation to, Long number, Message message) {
        sentMessages.merge(message.getClass(), 1, Integer::sum);
        processor(from).use(SEND_MILLIS);
        boolean lost = number == null || cutLinks.contains(Set.of(from, to));
        time.after(LINK_MILLIS, () -> {
            if (!lost && !cutLinks.contains(Set.of(from, to))) {
                processor(to).run(priority(from), RECEIVE_MILLIS, () -> receive(from, to, number, message));
            }
        });
    }

    private EventPriority priority(Incarnation sender) {
        return agents.containsKey(sender) ? EventPriority.AGENT : EventPriority.ENTRY;
    }

    private void receive(Incarnation from, Incarnation to, long number, Message message) {
        onAgent(to, agent -> {
            if (Objects.equals(number, openEnd(to, from))) {
                agent.receive(from, message, time.nowNanos());
            }
        });
        if (entries.containsKey(to) && Objects.equals(number, openEnd(to, from))) {
            entries.get(to).receive(from, message, time.nowNanos());
        }
    }

    void killEntry(Incarnation entry) {
        entries.remove(entry);
        closeLinksTo(entry);
    }

    FakeWorker killAgent(Incarnation agent) {
        FakeWorker worker = agents.remove(agent).worker();
        closeLinksTo(agent);
        return worker;
    }

    /** Resets a link: both ends detect it at once, messages under way are lost, and it is back after a delay. */
    void resetLink(Incarnation entry, Incarnation agent, double backMillis) {
        if (cutLinks.contains(Set.of(entry, agent))) {
            return;
        }
        closeEnd(entry, agent);
        closeEnd(agent, entry);
        time.after(backMillis, () -> {
            if (openEnd(entry, agent) == null) {
                link(entry, agent);
            }
        });
    }

    /** Cuts a link for a time: messages are lost, and both ends detect it after a delay or when the link is back. */
    void cutLink(Incarnation entry, Incarnation agent, double millis, double noticeMillis) {
        if (!cutLinks.add(Set.of(entry, agent))) {
            return;
        }
        if (millis > noticeMillis) {
            time.after(noticeMillis, () -> {
                closeEnd(entry, agent);
                closeEnd(agent, entry);
            });
        }
        time.after(millis + 5, () -> {
            cutLinks.remove(Set.of(entry, agent));
            closeEnd(entry, agent);
            closeEnd(agent, entry);
            link(entry, agent);
        });
    }

    String nextId() {
        lastJobNumber++;
        return "%016x".formatted(lastJobNumber);
    }

    String submit(Incarnation entry, WorkQueue queue, int tasks, int milliCores, int millis) {
        String id = nextId();
        submit(entry, id, queue, tasks, milliCores, millis);
        return id;
    }

    void submit(Incarnation entry, String id, WorkQueue queue, int tasks, int milliCores, int millis) {
        Dispatcher dispatcher = entries.get(entry);
        if (dispatcher == null) {
            return;
        }
        JobStep step = new JobStep(
                tasks,
                new Resources(milliCores, 64, 0),
                millis,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                Integer.MAX_VALUE);
        submittedMillis.putIfAbsent(id, time.nowMillis());
        long deadlineNanos = time.nowNanos() + TimeUnit.SECONDS.toNanos(10);
        JobRequest request = new JobRequest(id, queue, "spec", List.of(step), deadlineNanos);
        long readNanos = time.nowNanos();
        processor(entry)
                .run(EventPriority.CALLER, JOB_MILLIS, () -> dispatcher.submit(request, readNanos, time.nowNanos()));
    }

    private final class EntryPort implements DispatchOutput {
        private final Incarnation self;

        private EntryPort(Incarnation self) {
            this.self = self;
        }

        @Override
        public void send(Incarnation peer, Message message) {
            deliver(self, peer, openEnd(self, peer), message);
        }

        @Override
        public void answer(String job, JobResult result) {
            if (!entries.containsKey(self)) {
                return;
            }
            invariants.answered(job, result);
            results.put(job, result);
            responseMillis.put(job, time.nowMillis() - submittedMillis.getOrDefault(job, 0L));
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }

    private final class AgentPort implements WorkerOutput {
        private final Incarnation self;
        private final FakeWorker worker;

        private AgentPort(Incarnation self, FakeWorker worker) {
            this.self = self;
            this.worker = worker;
        }

        private void onAgent(Consumer<WorkerAgent> event) {
            WorkFleet.this.onAgent(self, CALL_MILLIS, event);
        }

        /** Performs an output unless the agent stands still; the first outputs precede its registration. */
        private void output(Runnable action) {
            Optional.ofNullable(agents.get(self)).map(Agent::pause).ifPresentOrElse(pause -> pause.run(action), action);
        }

        @Override
        public void send(Incarnation entry, Message message) {
            Long number = openEnd(self, entry);
            output(() -> deliver(self, entry, number, message));
        }

        @Override
        public void start(
                WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long leaseExpiryMillis) {
            output(() -> worker.start(
                    incarnation,
                    request,
                    fence,
                    leaseExpiryMillis,
                    reply ->
                            onAgent(agent -> agent.startAnswered(incarnation, request.ref(), reply, time.nowNanos()))));
        }

        @Override
        public void stop(WorkerIncarnation incarnation, RunRef run, long fence) {
            output(() -> worker.stop(
                    incarnation,
                    run,
                    fence,
                    reply -> onAgent(agent -> agent.stopAnswered(incarnation, run, reply, time.nowNanos()))));
        }

        @Override
        public void list(
                WorkerIncarnation incarnation,
                long fence,
                long acknowledged,
                long leaseExpiryMillis,
                long sentNanos,
                int waitMillis) {
            output(() -> worker.list(
                    incarnation,
                    fence,
                    acknowledged,
                    leaseExpiryMillis,
                    waitMillis,
                    list -> onAgent(agent -> agent.listAnswered(incarnation, sentNanos, list, time.nowNanos())),
                    failure -> onAgent(agent -> agent.listFailed(incarnation, sentNanos, failure, time.nowNanos()))));
        }

        @Override
        public boolean canCheckHealth() {
            return true;
        }

        @Override
        public void checkHealth(WorkerIncarnation incarnation) {
            output(() -> worker.checkHealth(
                    result -> onAgent(agent -> agent.healthChecked(incarnation, result, time.nowNanos()))));
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
