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
import org.knapweedmount.api.Reason;
import org.knapweedmount.api.message.RelayAnswer;

/**
 * Passes requests on to the entries that issued the ids, and settles them when an issuer cannot be reached.
 *
 * <p>After a link was lost the requests wait for a short while for a new link, because a settlement ends what the issuer
 * has not started yet.
 */
final class Relays {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RELINK_NANOS = 500 * NANOS_PER_MILLI;
    private static final int MAX_PENDING = 10_000;
    private static final int RETRY_MILLIS = 1_000;

    private final EntryContext context;
    private final Answers answers;
    private final Settlements settlements;
    private final Map<Long, ForeignRequest> pending = new LinkedHashMap<>();
    private final Set<Incarnation> linked = new LinkedHashSet<>();
    private final Map<Incarnation, Long> lostNanos = new HashMap<>();
    private long lastNumber;

    Relays(EntryContext context, Answers answers, Settlements settlements) {
        this.context = context;
        this.answers = answers;
        this.settlements = settlements;
    }

    void ask(ForeignRequest request, long nowNanos) {
        Incarnation issuer = request.id().issuer();
        if (settlements.answerSettled(request)) {
            return;
        }
        if (!linked.contains(issuer) && !lostNanos.containsKey(issuer)) {
            settlements.ask(request, nowNanos);
        } else if (pending.size() >= MAX_PENDING) {
            JobAnswer answer = JobAnswer.ended(
                    Optional.of(request.id()), Outcome.UNKNOWN, Reason.OVERLOADED, "too many requests are relayed");
            answers.deliver(request.requester(), answer.retryAfter(RETRY_MILLIS));
        } else {
            lastNumber++;
            pending.put(lastNumber, request);
            send(lastNumber, request);
        }
    }

    void answered(Incarnation from, RelayAnswer answer) {
        ForeignRequest request = pending.get(answer.request());
        if (request != null && request.id().issuer().equals(from)) {
            pending.remove(answer.request());
            answers.deliver(request.requester(), answer.answer());
        }
    }

    void linked(Incarnation entry, long nowNanos) {
        linked.add(entry);
        lostNanos.remove(entry);
        pending.forEach((number, request) -> {
            if (request.id().issuer().equals(entry)) {
                send(number, request);
            }
        });
        List.copyOf(lostNanos.keySet()).stream()
                .filter(lost -> lost.process().equals(entry.process()))
                .forEach(lost -> giveUp(lost, nowNanos));
    }

    void unlinked(Incarnation entry, long nowNanos) {
        if (linked.remove(entry)) {
            lostNanos.put(entry, nowNanos);
        }
    }

    /** Settles the requests of entries that were not linked again in time. */
    void tick(long nowNanos) {
        if (lostNanos.isEmpty()) {
            return;
        }
        for (Map.Entry<Incarnation, Long> lost : List.copyOf(lostNanos.entrySet())) {
            if (nowNanos - lost.getValue() >= RELINK_NANOS) {
                giveUp(lost.getKey(), nowNanos);
            }
        }
    }

    private void send(long number, ForeignRequest request) {
        Incarnation issuer = request.id().issuer();
        if (linked.contains(issuer)) {
            context.counters().increment(EntryCounter.RELAYS);
            context.output().send(issuer, request.message(number));
        }
    }

    private void giveUp(Incarnation entry, long nowNanos) {
        lostNanos.remove(entry);
        List<Long> numbers = pending.entrySet().stream()
                .filter(item -> item.getValue().id().issuer().equals(entry))
                .map(Map.Entry::getKey)
                .toList();
        for (long number : numbers) {
            settlements.ask(pending.remove(number), nowNanos);
        }
    }
}
