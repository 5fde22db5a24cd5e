package org.knapweedmount.core.work;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunRequest;
import org.knapweedmount.api.work.WorkQueue;
import org.knapweedmount.core.dispatch.DispatchOutput;
import org.knapweedmount.core.dispatch.Dispatcher;
import org.knapweedmount.core.dispatch.JobRequest;
import org.knapweedmount.core.dispatch.JobResult;
import org.knapweedmount.core.dispatch.JobStep;
import org.knapweedmount.core.worker.RunListFailure;
import org.knapweedmount.core.worker.WorkerAgent;
import org.knapweedmount.core.worker.WorkerIncarnation;
import org.knapweedmount.core.worker.WorkerOutput;

/** Simulates entries, agents and workers in virtual time; links can be cut and processes replaced. */
final class WorkFleet {
    static final WorkQueue LOOKUPS = queue("lookups", 0);
    static final WorkQueue MATCHES = queue("matches", 2);
    static final WorkQueue HOLDS = queue("holds", 1);

    private static final double LINK_MILLIS = 0.5;

    private final VirtualTime time = new VirtualTime();
    private final InvariantChecker invariants = new InvariantChecker();
    private final Random random;
    private final Map<Incarnation, Dispatcher> entries = new LinkedHashMap<>();
    private final Map<Incarnation, Agent> agents = new LinkedHashMap<>();
    private final List<FakeWorker> workers = new ArrayList<>();
    private final Set<Set<Incarnation>> cutLinks = new HashSet<>();
    private final Map<Incarnation, Map<Incarnation, Long>> openLinks = new HashMap<>();
    private final Map<String, JobResult> results = new LinkedHashMap<>();
    private final Map<String, Long> responseMillis = new HashMap<>();
    private final Map<String, Long> submittedMillis = new HashMap<>();
    private long lastNonce;
    private long lastLink;
    private long lastJobNumber;

    private record Agent(WorkerAgent workerAgent, FakeWorker worker) {}

    WorkFleet(long seed) {
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

    long responseMillis(String job) {
        return responseMillis.get(job);
    }

    private void addWorker(String name, int milliCores) {
        FakeWorker worker = new FakeWorker(time, random, name, new Resources(milliCores, 65_536, 0), invariants);
        workers.add(worker);
        startAgent(worker);
    }

    /** Starts an agent for a worker, also as the replacement of a lost one. */
    void startAgent(FakeWorker worker) {
        lastNonce++;
        Incarnation self = new Incarnation("agent-" + worker.name(), lastNonce);
        WorkerAgent workerAgent = new WorkerAgent(new AgentPort(self, worker));
        agents.put(self, new Agent(workerAgent, worker));
        entries.keySet().forEach(entry -> link(entry, self));
        time.every(20, () -> {
            if (agents.containsKey(self)) {
                workerAgent.tick(time.nowNanos());
            }
        });
        worker.atStart(() -> announce(self, worker));
        announce(self, worker);
        time.every(1_500, () -> announce(self, worker));
    }

    private void announce(Incarnation self, FakeWorker worker) {
        Agent agent = agents.get(self);
        if (agent != null) {
            worker.announcement()
                    .ifPresent(announcement -> agent.workerAgent().announced(announcement, time.nowNanos()));
        }
    }

    Incarnation startEntry(String name) {
        lastNonce++;
        Incarnation self = new Incarnation(name, lastNonce);
        Dispatcher dispatcher = new Dispatcher(new EntryPort(self));
        List<Incarnation> others = entries();
        entries.put(self, dispatcher);
        dispatcher.started(time.nowNanos());
        dispatcher.entriesListed(others.stream().map(Incarnation::process).toList(), time.nowNanos());
        others.forEach(other -> linkEntries(self, other));
        agents.keySet().forEach(agent -> link(self, agent));
        time.every(10, () -> {
            if (entries.containsKey(self)) {
                dispatcher.tick(time.nowNanos());
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
        entries.get(entry).agentLinked(agent, time.nowNanos());
        time.after(LINK_MILLIS, () -> {
            boolean closed = !Objects.equals(openEnd(entry, agent), number);
            if (closed || !agents.containsKey(agent) || cutLinks.contains(Set.of(entry, agent))) {
                return;
            }
            openEnd(agent, entry, number);
            agents.get(agent).workerAgent().linked(entry, time.nowNanos());
        });
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
        boolean open = openLinks.getOrDefault(process, new HashMap<>()).remove(peer) != null;
        if (open && entries.containsKey(process)) {
            entries.get(process).unlinked(peer, time.nowNanos());
        } else if (open && agents.containsKey(process)) {
            agents.get(process).workerAgent().unlinked(peer, time.nowNanos());
        }
    }

    private void closeLinksTo(Incarnation lost) {
        openLinks.remove(lost);
        List.copyOf(openLinks.keySet()).forEach(process -> closeEnd(process, lost));
    }

    /** Delivers a message unless its link is cut or closed by the time of its arrival. */
    private void deliver(Incarnation from, Incarnation to, Runnable receipt) {
        Long number = openEnd(from, to);
        boolean lost = number == null || cutLinks.contains(Set.of(from, to));
        time.after(LINK_MILLIS, () -> {
            if (!lost && !cutLinks.contains(Set.of(from, to)) && number.equals(openEnd(to, from))) {
                receipt.run();
            }
        });
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
        dispatcher.submit(new JobRequest(id, queue, "spec", List.of(step), deadlineNanos), time.nowNanos());
    }

    private final class EntryPort implements DispatchOutput {
        private final Incarnation self;

        private EntryPort(Incarnation self) {
            this.self = self;
        }

        @Override
        public void send(Incarnation peer, Message message) {
            deliver(self, peer, () -> {
                if (agents.containsKey(peer)) {
                    agents.get(peer).workerAgent().receive(self, message, time.nowNanos());
                } else if (entries.containsKey(peer)) {
                    entries.get(peer).receive(self, message, time.nowNanos());
                }
            });
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

        private void onAgent(java.util.function.Consumer<WorkerAgent> action) {
            if (agents.containsKey(self)) {
                action.accept(agents.get(self).workerAgent());
            }
        }

        @Override
        public void send(Incarnation entry, Message message) {
            deliver(self, entry, () -> entries.get(entry).receive(self, message, time.nowNanos()));
        }

        @Override
        public void start(
                WorkerIncarnation incarnation, String spec, RunRequest request, long fence, long leaseExpiryMillis) {
            worker.start(
                    incarnation,
                    request,
                    fence,
                    leaseExpiryMillis,
                    reply -> onAgent(agent -> agent.startAnswered(incarnation, request.ref(), reply, time.nowNanos())));
        }

        @Override
        public void stop(WorkerIncarnation incarnation, RunRef run, long fence) {
            worker.stop(
                    incarnation,
                    run,
                    fence,
                    reply -> onAgent(agent -> agent.stopAnswered(incarnation, run, reply, time.nowNanos())));
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
                    incarnation,
                    fence,
                    acknowledged,
                    leaseExpiryMillis,
                    waitMillis,
                    list -> onAgent(agent -> {
                        if (list.isPresent()) {
                            agent.listAnswered(incarnation, sentNanos, list.get(), time.nowNanos());
                        } else {
                            agent.listFailed(incarnation, sentNanos, RunListFailure.UNANSWERED, time.nowNanos());
                        }
                    }));
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
