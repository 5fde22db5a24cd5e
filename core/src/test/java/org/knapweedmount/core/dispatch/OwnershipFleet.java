package org.knapweedmount.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.Role;
import org.knapweedmount.api.message.ActiveRuns;
import org.knapweedmount.api.message.LeaseRenewal;
import org.knapweedmount.api.message.LinkedEntries;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.api.message.Peers;
import org.knapweedmount.api.message.RelayedMessage;
import org.knapweedmount.api.message.RunOrder;
import org.knapweedmount.api.message.RunsEnded;
import org.knapweedmount.api.message.StopRuns;
import org.knapweedmount.api.message.WorkerReport;
import org.knapweedmount.api.work.RunOutcome;
import org.knapweedmount.api.work.RunRef;
import org.knapweedmount.api.work.RunResult;
import org.knapweedmount.core.evacuation.DataCentreAccess;

/**
 * Entries in virtual time whose links to each other are reset and cut and that stand still, and an agent that starts
 * what it is told to, passes on messages between entries without a link, and ends the runs of an entry that it has not heard.
 */
final class OwnershipFleet {
    private static final Incarnation AGENT = new Incarnation("agent", 100);
    private static final int LEASE_MILLIS = 900;
    private static final int MAX_ORDER_AGE_MILLIS = 500;
    private static final int LINK_TIMEOUT_MILLIS = 1_500;
    private static final int STOP_MILLIS = 30;
    private static final int RECONNECT_GRACE_MILLIS = 300;
    private static final int MAX_LINK_DELAY_MILLIS = 300;

    private final Random random;
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final List<Entry> entries = new ArrayList<>();
    private final Set<Set<Entry>> upLinks = new HashSet<>();
    private final Set<Set<Entry>> cutLinks = new HashSet<>();
    private final Map<Set<Entry>, Deque<Runnable>> heldLinks = new HashMap<>();
    private final Set<Entry> isolated = new HashSet<>();
    private final Set<Entry> linkedToAgent = new LinkedHashSet<>();
    private final Set<Entry> withRuns = new LinkedHashSet<>();
    private final Map<String, Set<Entry>> liveRuns = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private long millis;
    private long lastEvent;
    private int started;

    private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** An entry; what arrives while it stands still is handled when it wakes. */
    private static final class Entry {
        private final Incarnation self;
        private final Deque<Runnable> buffered = new ArrayDeque<>();
        private final Set<RunRef> runs = new LinkedHashSet<>();
        private Dispatcher dispatcher;
        private long leaseMillis;
        private long lostMillis;
        private boolean still;
        private boolean ended;

        private Entry(Incarnation self) {
            this.self = self;
        }

        private PeerAddress address() {
            return new PeerAddress(self, Role.ENTRY, "region", "data-centre", "127.0.0.1", 1);
        }
    }

    OwnershipFleet(long seed, int count) {
        random = new Random(seed);
        for (int number = 0; number < count; number++) {
            entries.add(start(number, number));
        }
        for (Entry entry : entries) {
            entries.stream().filter(other -> other != entry).forEach(other -> link(entry, other));
        }
        linkedToAgent.addAll(entries);
        sendLinkedEntries();
        every(10, this::endLapsedRuns);
    }

    private Entry start(int number, long nonce) {
        Entry entry = new Entry(new Incarnation("entry-" + number, nonce));
        entry.dispatcher = new Dispatcher(new Port(entry), new DataCentreAccess());
        entry.dispatcher.agentLinked(AGENT, now(entry));
        every(entry, 25, () -> {
            if (!entry.still) {
                entry.dispatcher.tick(now(entry));
            }
        });
        every(entry, 100, () -> report(entry));
        return entry;
    }

    Random random() {
        return random;
    }

    int started() {
        return started;
    }

    List<String> violations() {
        return violations;
    }

    int entryCount() {
        return entries.size();
    }

    void run(long untilMillis) {
        while (!queue.isEmpty() && queue.peek().atMillis() <= untilMillis) {
            Event event = queue.remove();
            millis = event.atMillis();
            event.action().run();
        }
    }

    void after(long delayMillis, Runnable action) {
        lastEvent++;
        queue.add(new Event(millis + delayMillis, lastEvent, action));
    }

    private void every(Entry entry, long intervalMillis, Runnable action) {
        after(intervalMillis, () -> {
            if (!entry.ended) {
                action.run();
                every(entry, intervalMillis, action);
            }
        });
    }

    private void every(long intervalMillis, Runnable action) {
        after(intervalMillis, () -> {
            action.run();
            every(intervalMillis, action);
        });
    }

    /** Returns the time by an entry's clock, in ns. */
    private long now(Entry entry) {
        return DispatchFixture.millisToNanos(millis - entry.lostMillis);
    }

    private void handle(Entry entry, Runnable action) {
        if (entry.ended) {
            return;
        }
        if (entry.still) {
            entry.buffered.add(action);
        } else {
            action.run();
        }
    }

    void submit(int number, String job, int runMillis) {
        Entry entry = entries.get(number);
        if (isolated.contains(entry)) {
            return;
        }
        handle(
                entry,
                () -> entry.dispatcher.submit(
                        DispatchFixture.request(job, DispatchFixture.step(2, 1_000, runMillis))
                                .dueBy(now(entry) + DispatchFixture.millisToNanos(4_000)),
                        now(entry)));
    }

    /**
     * Closes the connection of a caller. The entry reads that after the request, if it is in reach of the caller.
     */
    void disconnect(int number, String job) {
        Entry entry = entries.get(number);
        if (isolated.contains(entry)) {
            return;
        }
        handle(entry, () -> after(2, () -> handle(entry, () -> entry.dispatcher.callerLeft(job, now(entry)))));
    }

    boolean standsStill(int number) {
        return entries.get(number).still;
    }

    private void link(Entry one, Entry other) {
        if (isolated.contains(one) || isolated.contains(other)) {
            return;
        }
        if (one.ended
                || other.ended
                || one.still
                || other.still
                || cutLinks.contains(Set.of(one, other))
                || !upLinks.add(Set.of(one, other))) {
            return;
        }
        one.dispatcher.entryLinked(other.self, now(one));
        other.dispatcher.entryLinked(one.self, now(other));
        sendPeers(one);
        sendPeers(other);
    }

    private void unlink(Entry one, Entry other) {
        heldLinks.remove(Set.of(one, other));
        if (upLinks.remove(Set.of(one, other))) {
            handle(one, () -> unlinked(one, other));
            handle(other, () -> unlinked(other, one));
        }
    }

    private void unlinked(Entry entry, Entry peer) {
        entry.dispatcher.unlinked(peer.self, now(entry));
        sendPeers(entry);
    }

    private void sendPeers(Entry entry) {
        List<Entry> linked = entries.stream()
                .filter(other -> other != entry && upLinks.contains(Set.of(entry, other)))
                .toList();
        linked.forEach(peer -> sendToEntry(
                entry,
                peer,
                new Peers(linked.stream()
                        .filter(other -> other != peer)
                        .map(Entry::address)
                        .toList())));
    }

    void resetLink(int first, int second) {
        unlink(entries.get(first), entries.get(second));
        after(100, () -> link(entries.get(first), entries.get(second)));
    }

    void cutLink(int first, int second, long durationMillis) {
        Set<Entry> ends = Set.of(entries.get(first), entries.get(second));
        cutLinks.add(ends);
        after(Math.min(durationMillis, LINK_TIMEOUT_MILLIS), () -> unlink(entries.get(first), entries.get(second)));
        after(durationMillis, () -> {
            cutLinks.remove(ends);
            link(entries.get(first), entries.get(second));
        });
    }

    /** Holds back the messages between two entries for less than the timeout of their link. */
    void holdLink(int first, int second, long durationMillis) {
        Set<Entry> ends = Set.of(entries.get(first), entries.get(second));
        if (heldLinks.putIfAbsent(ends, new ArrayDeque<>()) == null) {
            after(durationMillis, () -> {
                Deque<Runnable> held = heldLinks.remove(ends);
                if (held != null) {
                    held.forEach(Runnable::run);
                }
            });
        }
    }

    /** Cuts an entry off from all processes and callers; afterwards it is linked to the agent before the other entries. */
    void isolate(int number, long durationMillis) {
        Entry entry = entries.get(number);
        if (entry.still || entry.ended || !isolated.add(entry)) {
            return;
        }
        after(Math.min(durationMillis, LINK_TIMEOUT_MILLIS), () -> {
            if (!entry.ended) {
                entries.stream().filter(other -> other != entry).forEach(other -> unlink(entry, other));
                linkedToAgent.remove(entry);
                sendLinkedEntries();
                handle(entry, () -> entry.dispatcher.unlinked(AGENT, now(entry)));
            }
        });
        after(durationMillis, () -> {
            isolated.remove(entry);
            if (!entry.ended) {
                handle(entry, () -> entry.dispatcher.agentLinked(AGENT, now(entry)));
                linkedToAgent.add(entry);
                sendLinkedEntries();
                sendFromAgent(entry, new ActiveRuns(List.copyOf(entry.runs)));
                entries.stream()
                        .filter(other -> other != entry)
                        .forEach(other -> after(10 + random.nextInt(MAX_LINK_DELAY_MILLIS), () -> link(entry, other)));
            }
        });
    }

    /** Kills an entry, whose links are reset at once, and starts another incarnation of it after a time. */
    void restart(int number, long downMillis) {
        Entry killed = entries.get(number);
        if (killed.ended) {
            return;
        }
        entries.stream().filter(other -> other != killed).forEach(other -> unlink(killed, other));
        killed.ended = true;
        killed.buffered.clear();
        linkedToAgent.remove(killed);
        sendLinkedEntries();
        after(
                RECONNECT_GRACE_MILLIS,
                () -> List.copyOf(killed.runs)
                        .forEach(ref -> after(STOP_MILLIS, () -> end(killed, ref, RunOutcome.STOPPED))));
        after(downMillis, () -> {
            Entry successor = start(number, millis);
            successor.dispatcher.startupEntries().started(now(successor));
            boolean storeIsAway = random.nextInt(4) == 0;
            if (!storeIsAway) {
                after(
                        1 + random.nextInt(50),
                        () -> handle(
                                successor,
                                () -> successor
                                        .dispatcher
                                        .startupEntries()
                                        .listed(entries.stream()
                                                .filter(other -> other != successor)
                                                .map(other -> other.self.process())
                                                .toList())));
            }
            entries.set(number, successor);
            linkedToAgent.add(successor);
            sendLinkedEntries();
            for (Entry other : List.copyOf(entries)) {
                if (other != successor) {
                    after(random.nextInt(MAX_LINK_DELAY_MILLIS), () -> link(successor, other));
                }
            }
        });
    }

    /** Lets an entry stand still; its clock goes on, or not if its VM is suspended. */
    void standStill(int number, long durationMillis, boolean suspended) {
        Entry entry = entries.get(number);
        if (entry.still || entry.ended || isolated.contains(entry)) {
            return;
        }
        entry.still = true;
        if (durationMillis > LINK_TIMEOUT_MILLIS) {
            after(LINK_TIMEOUT_MILLIS, () -> {
                if (entry.ended) {
                    return;
                }
                entries.stream().filter(other -> other != entry).forEach(other -> unlink(entry, other));
                linkedToAgent.remove(entry);
                sendLinkedEntries();
            });
        }
        after(durationMillis, () -> {
            if (entry.ended) {
                return;
            }
            entry.lostMillis += suspended ? durationMillis : 0;
            entry.still = false;
            List<Runnable> waiting = List.copyOf(entry.buffered);
            entry.buffered.clear();
            waiting.forEach(Runnable::run);
            linkedToAgent.add(entry);
            sendLinkedEntries();
            after(10, () -> entries.stream().filter(other -> other != entry).forEach(other -> link(entry, other)));
        });
    }

    private void report(Entry entry) {
        Resources capacity = new Resources(64_000, 65_536, 0);
        long timestampNanos = DispatchFixture.millisToNanos(millis);
        sendFromAgent(
                entry,
                new WorkerReport(
                        timestampNanos,
                        "service",
                        "w",
                        List.of(),
                        capacity,
                        capacity,
                        true,
                        Long.MAX_VALUE,
                        0,
                        100,
                        true));
    }

    private void sendLinkedEntries() {
        linkedToAgent.forEach(entry -> sendFromAgent(
                entry,
                new LinkedEntries(
                        linkedToAgent.stream()
                                .filter(other -> other != entry)
                                .map(other -> other.self)
                                .toList(),
                        withRuns.stream()
                                .filter(other -> !linkedToAgent.contains(other))
                                .map(other -> other.self)
                                .toList())));
    }

    private void sendFromAgent(Entry entry, Message message) {
        if (isolated.contains(entry)) {
            return;
        }
        after(1, () -> {
            if (!isolated.contains(entry)) {
                handle(entry, () -> entry.dispatcher.receive(AGENT, message, now(entry)));
            }
        });
    }

    private void sendToEntry(Entry from, Entry to, Message message) {
        if (!upLinks.contains(Set.of(from, to))
                || cutLinks.contains(Set.of(from, to))
                || isolated.contains(from)
                || isolated.contains(to)) {
            return;
        }
        Runnable delivery = () -> {
            if (upLinks.contains(Set.of(from, to)) && !cutLinks.contains(Set.of(from, to))) {
                handle(to, () -> to.dispatcher.receive(from.self, message, now(to)));
            }
        };
        Deque<Runnable> held = heldLinks.get(Set.of(from, to));
        if (held != null) {
            held.add(() -> after(1, delivery));
        } else {
            after(1, delivery);
        }
    }

    private void atAgent(Entry entry, Message message) {
        if (message instanceof LeaseRenewal renewal) {
            renew(entry, renewal.timestampNanos());
        } else if (message instanceof RelayedMessage relayed) {
            linkedToAgent.stream()
                    .filter(other -> other.self.equals(relayed.peer()))
                    .forEach(other -> sendFromAgent(other, relayed.from(entry.self)));
        } else if (message instanceof StopRuns stop) {
            stop.runs().forEach(ref -> after(STOP_MILLIS, () -> end(entry, ref, RunOutcome.STOPPED)));
        } else if (message instanceof RunOrder order) {
            renew(entry, order.timestampNanos());
            boolean recent = millis - order.timestampNanos() / 1_000_000 <= MAX_ORDER_AGE_MILLIS;
            order.jobs()
                    .forEach(job -> job.runs().forEach(run -> {
                        if (recent) {
                            start(entry, run.ref(), run.expectedMillis());
                        } else {
                            sendResult(entry, run.ref(), RunOutcome.REFUSED);
                        }
                    }));
        }
    }

    private void renew(Entry entry, long timestampNanos) {
        entry.leaseMillis = Math.max(entry.leaseMillis, timestampNanos / 1_000_000 + LEASE_MILLIS);
    }

    private void start(Entry entry, RunRef ref, int runMillis) {
        started++;
        Set<Entry> holders = liveRuns.computeIfAbsent(ref.task(), key -> new HashSet<>());
        if (!holders.isEmpty()) {
            violations.add(millis + "ms " + ref + " of " + entry.self + " beside a run of "
                    + holders.iterator().next().self);
        }
        holders.add(entry);
        entry.runs.add(ref);
        withRuns.add(entry);
        after(runMillis, () -> end(entry, ref, RunOutcome.DONE));
    }

    private void end(Entry entry, RunRef ref, RunOutcome outcome) {
        if (entry.runs.remove(ref)) {
            liveRuns.get(ref.task()).remove(entry);
            sendResult(entry, ref, outcome);
            if (entry.runs.isEmpty() && withRuns.remove(entry) && !linkedToAgent.contains(entry)) {
                sendLinkedEntries();
            }
        }
    }

    private void sendResult(Entry entry, RunRef ref, RunOutcome outcome) {
        sendFromAgent(entry, new RunsEnded(List.of(new RunResult(ref, outcome, 100, ""))));
    }

    private void endLapsedRuns() {
        for (Entry entry : entries) {
            if (millis > entry.leaseMillis) {
                List.copyOf(entry.runs).forEach(ref -> end(entry, ref, RunOutcome.LAPSED));
            }
        }
    }

    private final class Port implements DispatchOutput {
        private final Entry entry;

        private Port(Entry entry) {
            this.entry = entry;
        }

        @Override
        public void send(Incarnation peer, Message message) {
            if (peer.equals(AGENT)) {
                after(1, () -> {
                    if (!isolated.contains(entry)) {
                        atAgent(entry, message);
                    }
                });
                return;
            }
            entries.stream()
                    .filter(other -> other.self.equals(peer))
                    .forEach(other -> sendToEntry(entry, other, message));
        }

        @Override
        public void answer(String job, JobResult result) {
            // Answers are not checked.
        }

        @Override
        public void logEvent(String event, String detail) {
            // Log events are not checked.
        }
    }
}
