package org.knapweedmount.core.entry;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.Outcome;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.message.RelayAnswer;

/**
 * Passes requests on to the entries that issued the ids, and settles them when an issuer cannot be reached.
 *
 * <p>After a link was lost the requests wait for a short while for a new link, because a settlement ends what the issuer
 * has not started yet.
 *
 * <p>A request for an id of another region goes to its issuer there or, if that cannot be reached, to another entry of
 * that region, which alone has links to the agents that can settle it. A link is opened for it.
 */
final class Relays {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RELINK_NANOS = 500 * NANOS_PER_MILLI;
    private static final long REACH_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final int MAX_PENDING = 10_000;
    /** The number of requests for other regions that wait, so that a cut does not use up all relays. */
    static final int MAX_REMOTE_PENDING = 2_000;

    private static final int MAX_CARRIERS = 3;
    private static final int RETRY_MILLIS = 1_000;

    private final EntryContext context;
    private final Answers answers;
    private final Settlements settlements;
    private final RemoteEntries remote;
    private final Map<Long, RelayedRequest> pending = new LinkedHashMap<>();
    private final Set<Incarnation> linked = new LinkedHashSet<>();
    private final Map<Incarnation, Long> giveUpNanos = new HashMap<>();
    private int remotePending;
    private long lastNumber;

    Relays(EntryContext context, Answers answers, Settlements settlements, RemoteEntries remote) {
        this.context = context;
        this.answers = answers;
        this.settlements = settlements;
        this.remote = remote;
    }

    /** Finds the answer to a request, in whichever region it can be found. */
    void ask(ForeignRequest request, long nowNanos) {
        if (settlements.answerSettled(request)) {
            return;
        }
        if (remote.issuedElsewhere(request.id().issuer())) {
            askRegion(request, Set.of(), nowNanos);
        } else {
            askInRegion(request, nowNanos);
        }
    }

    /** Finds the answer to a request without other regions' help. */
    void askInRegion(ForeignRequest request, long nowNanos) {
        if (settlements.answerSettled(request)) {
            return;
        }
        if (isAwaited(request.id().issuer())) {
            relay(RelayedRequest.toIssuer(request));
        } else {
            settlements.ask(request, nowNanos);
        }
    }

    void answered(Incarnation from, RelayAnswer answer) {
        RelayedRequest relayed = pending.get(answer.request());
        if (relayed != null && relayed.carrier().equals(from)) {
            remove(answer.request());
            answers.deliver(relayed.request().requester(), answer.answer());
        }
    }

    void linked(Incarnation entry, long nowNanos) {
        linked.add(entry);
        giveUpNanos.remove(entry);
        pending.forEach((number, relayed) -> {
            if (relayed.carrier().equals(entry)) {
                send(number, relayed);
            }
        });
        List.copyOf(giveUpNanos.keySet()).stream()
                .filter(lost -> lost.process().equals(entry.process()))
                .forEach(lost -> giveUp(lost, nowNanos));
    }

    void unlinked(Incarnation entry, long nowNanos) {
        if (!linked.remove(entry)) {
            return;
        }
        if (remote.issuedElsewhere(entry)) {
            takeAll(entry).forEach(relayed -> askRegion(relayed.request(), relayed.tried(), nowNanos));
        } else {
            giveUpNanos.put(entry, nowNanos + RELINK_NANOS);
        }
    }

    /** Looks for other ways for the requests of entries that were not linked in time. */
    void tick(long nowNanos) {
        if (giveUpNanos.isEmpty()) {
            return;
        }
        for (Map.Entry<Incarnation, Long> awaited : List.copyOf(giveUpNanos.entrySet())) {
            if (nowNanos - awaited.getValue() >= 0) {
                giveUp(awaited.getKey(), nowNanos);
            }
        }
    }

    /** Tells whether an entry is linked, or may well be so in a moment. */
    private boolean isAwaited(Incarnation entry) {
        return linked.contains(entry) || giveUpNanos.containsKey(entry);
    }

    private void askRegion(ForeignRequest request, Set<Incarnation> tried, long nowNanos) {
        Optional<PeerAddress> carrier = remote.carrier(request.id().issuer(), tried);
        if (carrier.isEmpty() || tried.size() >= MAX_CARRIERS) {
            refuse(request, Reason.CONNECTION_LOST, "the region of the entry that issued the id cannot be reached");
            return;
        }
        if (!isAwaited(carrier.get().incarnation())) {
            giveUpNanos.put(carrier.get().incarnation(), nowNanos + REACH_NANOS);
            context.output().connect(carrier.get());
        }
        relay(RelayedRequest.toRegion(request, carrier.get(), tried));
    }

    private void relay(RelayedRequest relayed) {
        boolean tooManyRemote = relayed.isRemote() && remotePending >= MAX_REMOTE_PENDING;
        if (tooManyRemote || pending.size() >= MAX_PENDING) {
            refuse(relayed.request(), Reason.OVERLOADED, "too many requests are relayed");
            return;
        }
        remotePending += relayed.isRemote() ? 1 : 0;
        lastNumber++;
        pending.put(lastNumber, relayed);
        send(lastNumber, relayed);
    }

    private RelayedRequest remove(long number) {
        RelayedRequest relayed = pending.remove(number);
        remotePending -= relayed.isRemote() ? 1 : 0;
        return relayed;
    }

    private void send(long number, RelayedRequest relayed) {
        if (linked.contains(relayed.carrier())) {
            context.counters().increment(EntryCounter.RELAYS);
            context.output().send(relayed.carrier(), relayed.request().message(number));
        }
    }

    private void giveUp(Incarnation entry, long nowNanos) {
        giveUpNanos.remove(entry);
        takeAll(entry).forEach(relayed -> askElsewhere(relayed, nowNanos));
    }

    /** Takes all requests back that an entry was asked or was to be asked. */
    private List<RelayedRequest> takeAll(Incarnation entry) {
        List<Long> numbers = pending.entrySet().stream()
                .filter(item -> item.getValue().carrier().equals(entry))
                .map(Map.Entry::getKey)
                .toList();
        return numbers.stream().map(this::remove).toList();
    }

    private void askElsewhere(RelayedRequest relayed, long nowNanos) {
        ForeignRequest request = relayed.request();
        if (relayed.isRemote() || remote.issuedElsewhere(request.id().issuer())) {
            askRegion(request, relayed.triedByNow(), nowNanos);
        } else {
            settlements.ask(request, nowNanos);
        }
    }

    private void refuse(ForeignRequest request, Reason reason, String detail) {
        JobAnswer answer = JobAnswer.ended(Optional.of(request.id()), Outcome.UNKNOWN, reason, detail);
        answers.deliver(request.requester(), answer.retryAfter(RETRY_MILLIS));
    }
}
