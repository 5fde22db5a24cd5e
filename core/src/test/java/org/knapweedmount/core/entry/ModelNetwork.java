package org.knapweedmount.core.entry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.TaskId;
import org.knapweedmount.api.config.KindConfig;
import org.knapweedmount.api.config.ServiceConfig;
import org.knapweedmount.api.config.TeamConfig;
import org.knapweedmount.api.config.Ticket;
import org.knapweedmount.api.message.Capacity;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.core.config.ConfigState;
import org.knapweedmount.core.metric.Counters;
import org.knapweedmount.core.metric.Invariants;

/** Entries and agents connected by links that deliver messages in order until they break. */
final class ModelNetwork {
    private static final EntryLimits LIMITS = new EntryLimits(200, 100_000, 50, 30, 100_000, 1_500, 5_000, 3_000, 0.5);

    final Map<TaskId, Integer> executions = new HashMap<>();
    final Map<TaskId, String> kinds = new HashMap<>();
    final Map<Incarnation, EntryCore> entries = new LinkedHashMap<>();
    final List<ModelAgent> agents = new ArrayList<>();
    final Map<Long, JobAnswer> answers = new HashMap<>();
    final Map<String, SubmissionId> store = new HashMap<>();
    final Deque<Runnable> claims = new ArrayDeque<>();
    long now;
    private final Map<Link, Deque<Message>> queues = new LinkedHashMap<>();
    private final Random random;
    private long lastNonce;

    /**
     * One direction of a link.
     *
     * @param from the sender
     * @param to the receiver
     */
    private record Link(Incarnation from, Incarnation to) {
        Link reversed() {
            return new Link(to, from);
        }
    }

    ModelNetwork(Random random, int entryCount, int agentCount) {
        this.random = random;
        for (int i = 0; i < entryCount; i++) {
            addEntry(EntryFixture.entryAddress("entry-" + i));
        }
        for (int i = 0; i < agentCount; i++) {
            addAgent("agent-" + i);
        }
        linkAll();
    }

    private void addEntry(PeerAddress address) {
        Incarnation self = address.incarnation();
        ConfigState config = new ConfigState();
        config.apply(new Ticket(
                1,
                "ana",
                List.of(
                        new ServiceConfig(EntryFixture.SERVICE, EntryFixture.LOOKUP, 1_000, 0),
                        new TeamConfig(EntryFixture.TEAM, 1, 1),
                        new KindConfig(
                                EntryFixture.LOOKUP, EntryFixture.SERVICE, true, true, 1, 100, 1_000, Resources.NONE),
                        new KindConfig(
                                EntryFixture.RESERVE,
                                EntryFixture.SERVICE,
                                false,
                                false,
                                1,
                                100,
                                1_000,
                                Resources.NONE))));
        EntryOutput output = new EntryOutput() {
            @Override
            public void send(Incarnation peer, Message message) {
                Deque<Message> queue = queues.get(new Link(self, peer));
                if (queue != null) {
                    queue.add(message);
                }
            }

            @Override
            public void connect(PeerAddress entry) {
                throw new AssertionError("all entries are in one region");
            }

            @Override
            public void answer(long request, JobAnswer answer) {
                if (answers.put(request, answer) != null) {
                    throw new AssertionError("request " + request + " was answered twice");
                }
            }

            @Override
            public void claim(String key, SubmissionId proposed) {
                claims.add(() -> claimed(self, key, proposed));
            }

            @Override
            public void lookUp(String key) {
                claims.add(() -> lookedUp(self, key));
            }
        };
        Counters<EntryCounter> counters = new Counters<>(EntryCounter.class);
        entries.put(
                self, new EntryCore(LIMITS, address, config, output, counters, Invariants.fatal(), random.nextLong()));
    }

    private void lookedUp(Incarnation entry, String key) {
        boolean answered = random.nextInt(4) > 0;
        Optional<SubmissionId> claimedId = answered ? Optional.ofNullable(store.get(key)) : Optional.empty();
        entries.get(entry).lookUpCompleted(key, claimedId, now);
    }

    private void claimed(Incarnation entry, String key, SubmissionId proposed) {
        Optional<SubmissionId> claimedId = Optional.empty();
        boolean written = random.nextInt(4) > 0;
        boolean answered = random.nextInt(4) > 0;
        if (written) {
            claimedId = Optional.of(store.computeIfAbsent(key, unused -> proposed));
        }
        entries.get(entry).claimCompleted(key, proposed, new ClaimResult(answered ? claimedId : Optional.empty()), now);
    }

    private ModelAgent addAgent(String name) {
        PeerAddress address = new PeerAddress(new Incarnation(name, ++lastNonce), Role.AGENT, "rennes", "127.0.0.1", 0);
        ModelAgent agent = new ModelAgent(address, random, executions, kinds);
        agents.add(agent);
        return agent;
    }

    /** Establishes the missing links. */
    void linkAll() {
        List<Incarnation> names = List.copyOf(entries.keySet());
        for (Incarnation entry : names) {
            for (ModelAgent agent : agents) {
                link(entry, agent.address);
            }
            names.stream()
                    .filter(other -> !other.equals(entry))
                    .forEach(other -> link(entry, EntryFixture.entryAddress(other.process())));
        }
    }

    private void link(Incarnation entry, PeerAddress peer) {
        Link link = new Link(entry, peer.incarnation());
        if (queues.containsKey(link)) {
            return;
        }
        queues.put(link, new ArrayDeque<>());
        if (peer.role() == Role.AGENT) {
            queues.put(link.reversed(), new ArrayDeque<>());
            queues.get(link.reversed()).add(new Capacity(EntryFixture.SERVICE, 4, Resources.NONE));
        }
        entries.get(entry).linked(peer, now);
    }

    void breakLink() {
        List<Link> links = queues.keySet().stream()
                .filter(link -> entries.containsKey(link.from()))
                .toList();
        if (!links.isEmpty()) {
            breakLink(links.get(random.nextInt(links.size())));
        }
    }

    private void breakLink(Link link) {
        for (Link direction : List.of(link, link.reversed())) {
            boolean linked = queues.remove(direction) != null;
            if (linked && entries.containsKey(direction.from())) {
                entries.get(direction.from()).unlinked(direction.to(), now);
            }
        }
    }

    /** Replaces an agent by a new incarnation; its running tasks are lost. */
    void restartAgent() {
        ModelAgent replaced = agents.remove(random.nextInt(agents.size()));
        Incarnation name = replaced.address.incarnation();
        entries.keySet().forEach(entry -> breakLink(new Link(entry, name)));
        addAgent(name.process());
    }

    /** Sends a message from an agent to an entry, if they are linked. */
    void send(ModelAgent agent, Incarnation entry, Message message) {
        Deque<Message> queue = queues.get(new Link(agent.address.incarnation(), entry));
        if (queue != null) {
            queue.add(message);
        }
    }

    /** Delivers the next message of a random link, and returns whether there was one. */
    boolean deliver() {
        List<Link> nonEmpty = queues.entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .toList();
        if (nonEmpty.isEmpty()) {
            return false;
        }
        Link link = nonEmpty.get(random.nextInt(nonEmpty.size()));
        Message message = queues.get(link).remove();
        EntryCore entry = entries.get(link.to());
        if (entry != null) {
            entry.receive(link.from(), message, now);
            return true;
        }
        for (ModelAgent agent : agents) {
            if (agent.address.incarnation().equals(link.to())) {
                agent.receive(link.from(), message).ifPresent(reply -> send(agent, link.from(), reply));
            }
        }
        return true;
    }

    void advance(long millis) {
        now += millis * 1_000_000;
        entries.values().forEach(entry -> entry.tick(now));
    }

    /** Returns the submissions with at least one executed task. */
    Set<SubmissionId> executedSubmissions() {
        Set<SubmissionId> executed = new HashSet<>();
        executions.keySet().forEach(task -> executed.add(task.submission()));
        return executed;
    }
}
