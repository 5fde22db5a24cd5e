package org.knapweedmount.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.message.Message;

/** Simulated links that delay messages, duplicate some, and lose those in flight when a link closes. */
final class FakeNetwork {
    private static final long MIN_DELAY_NANOS = 200_000;
    private static final int DELAY_SPREAD_NANOS = 1_500_000;
    private static final int LOSS_DETECTION_SPREAD_NANOS = 40_000_000;

    private final Scheduler scheduler;
    private final Random random;
    private final double duplicateShare;
    private final Map<Incarnation, FakeProcess> processes = new TreeMap<>();
    private final Map<Set<Incarnation>, Link> links = new HashMap<>();
    private UnaryOperator<Message> interceptor = UnaryOperator.identity();
    private final Map<Class<?>, Integer> messages = new HashMap<>();

    private static final class Link {
        private final Map<Incarnation, Long> lastArrival = new HashMap<>();
        private boolean open = true;
        private long reconnectFromNanos;
    }

    FakeNetwork(Scheduler scheduler, Random random, double duplicateShare) {
        this.scheduler = scheduler;
        this.random = random;
        this.duplicateShare = duplicateShare;
    }

    /** Applies a change to each message in transit, to check that assertions detect a broken mechanism. */
    void interceptor(UnaryOperator<Message> change) {
        interceptor = change;
    }

    void add(FakeProcess process) {
        processes.put(process.address().incarnation(), process);
    }

    /** Returns the number of messages of a type sent so far. */
    int messages(Class<? extends Message> type) {
        return messages.getOrDefault(type, 0);
    }

    void connect(FakeProcess one, FakeProcess other) {
        Set<Incarnation> pair = pair(one, other);
        Link existing = links.get(pair);
        boolean busy = existing != null && (existing.open || existing.reconnectFromNanos > scheduler.nowNanos());
        if (busy || !one.alive() || !other.alive()) {
            return;
        }
        links.put(pair, new Link());
        one.deliver(() -> one.linked(other.address()));
        other.deliver(() -> other.linked(one.address()));
    }

    void disconnect(FakeProcess one, FakeProcess other) {
        if (one == other) {
            return;
        }
        Link link = links.get(pair(one, other));
        if (link == null || !link.open) {
            return;
        }
        link.open = false;
        link.reconnectFromNanos = scheduler.nowNanos() + LOSS_DETECTION_SPREAD_NANOS;
        scheduleLossDetection(one, other);
        scheduleLossDetection(other, one);
    }

    private void scheduleLossDetection(FakeProcess process, FakeProcess lost) {
        Incarnation peer = lost.address().incarnation();
        scheduler.after(
                random.nextInt(LOSS_DETECTION_SPREAD_NANOS), () -> process.deliver(() -> process.unlinked(peer)));
    }

    void send(FakeProcess from, Incarnation to, Message message) {
        FakeProcess receiver = processes.get(to);
        if (receiver == null) {
            return;
        }
        Link link = links.get(pair(from, receiver));
        if (link == null || !link.open) {
            return;
        }
        messages.merge(message.getClass(), 1, Integer::sum);
        Message sent = interceptor.apply(message);
        long earliest = link.lastArrival.getOrDefault(to, 0L) + 1;
        long arrival = Math.max(earliest, scheduler.nowNanos() + delay());
        link.lastArrival.put(to, arrival);
        schedule(link, from, receiver, sent, arrival);
        if (random.nextDouble() < duplicateShare) {
            schedule(link, from, receiver, sent, arrival + delay());
        }
    }

    private void schedule(Link link, FakeProcess from, FakeProcess receiver, Message message, long arrivalNanos) {
        Incarnation sender = from.address().incarnation();
        scheduler.at(
                arrivalNanos,
                () -> receiver.deliver(() -> {
                    if (link.open) {
                        receiver.receive(sender, message);
                    }
                }));
    }

    private long delay() {
        return MIN_DELAY_NANOS + random.nextInt(DELAY_SPREAD_NANOS);
    }

    private static Set<Incarnation> pair(FakeProcess one, FakeProcess other) {
        return Set.of(one.address().incarnation(), other.address().incarnation());
    }
}
