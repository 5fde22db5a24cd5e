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
 * Relays requests to the entries that issued the IDs, and settles them when an issuer cannot be reached.
 *
 * <p>After a link was lost, the requests wait for a short time for a new link, because a settlement ends every task
 * that the issuer has not started yet.
 *
 * <p>A request for an ID of another region is relayed over a new link to its issuer or, if that cannot be reached, to
 * another entry of that region, because only the entries of that region have links to the agents that can settle it.
 */
final class RequestRelay {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RELINK_TIMEOUT_NANOS = 500 * NANOS_PER_MILLI;
    private static final long CONNECT_TIMEOUT_NANOS = 2_000 * NANOS_PER_MILLI;
    private static final int MAX_PENDING_REQUESTS = 10_000;
    /** The limit of pending requests for other regions, so that an unreachable region does not block the rest. */
    static final int MAX_PENDING_REMOTE_REQUESTS = 2_000;

    private static final int MAX_RELAY_TARGETS = 3;
    private static final int RETRY_AFTER_MILLIS = 1_000;

    private final EntryContext context;
    private final PendingAnswers answers;
    private final Settlements settlements;
    private final RemoteEntries remoteEntries;
    private final Map<Long, RelayedRequest> pending = new LinkedHashMap<>();
    private final Set<Incarnation> linked = new LinkedHashSet<>();
    private final Map<Incarnation, Long> linkDeadlineNanos = new HashMap<>();
    private int pendingRemoteRequests;
    private long lastNumber;

    RequestRelay(EntryContext context, PendingAnswers answers, Settlements settlements, RemoteEntries remoteEntries) {
        this.context = context;
        this.answers = answers;
        this.settlements = settlements;
        this.remoteEntries = remoteEntries;
    }

    /** Answers a request through an entry or agents of the region in which its ID was issued. */
    void resolve(ForeignRequest request, long nowNanos) {
        if (settlements.answerSettled(request)) {
            return;
        }
        if (remoteEntries.isInOtherRegion(request.id().issuer())) {
            relayToRegion(request, Set.of(), nowNanos);
        } else {
            resolveInRegion(request, nowNanos);
        }
    }

    /** Answers a request through entries and agents of the local region only. */
    void resolveInRegion(ForeignRequest request, long nowNanos) {
        if (settlements.answerSettled(request)) {
            return;
        }
        if (isLinkedOrExpected(request.id().issuer())) {
            relay(RelayedRequest.toIssuer(request));
        } else {
            settlements.settle(request, nowNanos);
        }
    }

    void answered(Incarnation from, RelayAnswer answer) {
        RelayedRequest relayed = pending.get(answer.request());
        if (relayed != null && relayed.target().equals(from)) {
            remove(answer.request());
            answers.deliver(relayed.request().requester(), answer.answer());
        }
    }

    void linked(Incarnation entry, long nowNanos) {
        linked.add(entry);
        linkDeadlineNanos.remove(entry);
        pending.forEach((number, relayed) -> {
            if (relayed.target().equals(entry)) {
                send(number, relayed);
            }
        });
        List.copyOf(linkDeadlineNanos.keySet()).stream()
                .filter(earlier -> earlier.process().equals(entry.process()))
                .forEach(earlier -> linkTimedOut(earlier, nowNanos));
    }

    void unlinked(Incarnation entry, long nowNanos) {
        if (!linked.remove(entry)) {
            return;
        }
        if (remoteEntries.isInOtherRegion(entry)) {
            removeAll(entry).forEach(relayed -> relayToRegion(relayed.request(), relayed.unreachable(), nowNanos));
        } else {
            linkDeadlineNanos.put(entry, nowNanos + RELINK_TIMEOUT_NANOS);
        }
    }

    /** Reroutes the requests for entries that were not linked in time. */
    void tick(long nowNanos) {
        if (linkDeadlineNanos.isEmpty()) {
            return;
        }
        for (Map.Entry<Incarnation, Long> deadline : List.copyOf(linkDeadlineNanos.entrySet())) {
            if (nowNanos - deadline.getValue() >= 0) {
                linkTimedOut(deadline.getKey(), nowNanos);
            }
        }
    }

    /** Returns whether an entry is linked, or a link to it is expected. */
    private boolean isLinkedOrExpected(Incarnation entry) {
        return linked.contains(entry) || linkDeadlineNanos.containsKey(entry);
    }

    private void relayToRegion(ForeignRequest request, Set<Incarnation> unreachable, long nowNanos) {
        Optional<PeerAddress> target = remoteEntries.relayTarget(request.id().issuer(), unreachable);
        if (target.isEmpty() || unreachable.size() >= MAX_RELAY_TARGETS) {
            refuse(request, Reason.CONNECTION_LOST, "the region of the entry that issued the ID cannot be reached");
            return;
        }
        if (!isLinkedOrExpected(target.get().incarnation())) {
            linkDeadlineNanos.put(target.get().incarnation(), nowNanos + CONNECT_TIMEOUT_NANOS);
            context.output().connect(target.get());
        }
        relay(RelayedRequest.toRegion(request, target.get(), unreachable));
    }

    private void relay(RelayedRequest relayed) {
        boolean tooManyRemote = relayed.isRemote() && pendingRemoteRequests >= MAX_PENDING_REMOTE_REQUESTS;
        if (tooManyRemote || pending.size() >= MAX_PENDING_REQUESTS) {
            refuse(relayed.request(), Reason.OVERLOADED, "too many requests are being relayed");
            return;
        }
        pendingRemoteRequests += relayed.isRemote() ? 1 : 0;
        lastNumber++;
        pending.put(lastNumber, relayed);
        send(lastNumber, relayed);
    }

    private RelayedRequest remove(long number) {
        RelayedRequest relayed = pending.remove(number);
        pendingRemoteRequests -= relayed.isRemote() ? 1 : 0;
        return relayed;
    }

    private void send(long number, RelayedRequest relayed) {
        if (linked.contains(relayed.target())) {
            context.counters().increment(EntryCounter.RELAYS);
            context.output().send(relayed.target(), relayed.request().message(number));
        }
    }

    private void linkTimedOut(Incarnation entry, long nowNanos) {
        linkDeadlineNanos.remove(entry);
        removeAll(entry).forEach(relayed -> reroute(relayed, nowNanos));
    }

    /** Removes and returns all requests with an entry as target. */
    private List<RelayedRequest> removeAll(Incarnation entry) {
        List<Long> numbers = pending.entrySet().stream()
                .filter(item -> item.getValue().target().equals(entry))
                .map(Map.Entry::getKey)
                .toList();
        return numbers.stream().map(this::remove).toList();
    }

    private void reroute(RelayedRequest relayed, long nowNanos) {
        ForeignRequest request = relayed.request();
        if (relayed.isRemote() || remoteEntries.isInOtherRegion(request.id().issuer())) {
            relayToRegion(request, relayed.unreachableWithTarget(), nowNanos);
        } else {
            settlements.settle(request, nowNanos);
        }
    }

    private void refuse(ForeignRequest request, Reason reason, String detail) {
        JobAnswer answer = JobAnswer.ended(Optional.of(request.id()), Outcome.UNKNOWN, reason, detail);
        answers.deliver(request.requester(), answer.retryAfter(RETRY_AFTER_MILLIS));
    }
}
