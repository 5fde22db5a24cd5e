package org.knapweedmount.core.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.message.RelayAnswer;

/** The requests that have not been answered; each is answered exactly once. */
final class PendingAnswers {
    private final EntryContext context;
    private final Set<Requester> pending = new HashSet<>();

    PendingAnswers(EntryContext context) {
        this.context = context;
    }

    /** Registers a request that is to be answered. */
    void register(Requester requester) {
        context.invariants().check(pending.add(requester), "each request number is used once");
    }

    /** Returns whether a request has not been answered yet. */
    boolean isPending(Requester requester) {
        return pending.contains(requester);
    }

    void deliver(Requester requester, JobAnswer answer) {
        boolean removed = pending.remove(requester);
        context.invariants().check(removed, "each request is answered exactly once");
        if (!removed) {
            return;
        }
        if (requester.peer().isPresent()) {
            context.output().send(requester.peer().get(), new RelayAnswer(requester.request(), answer));
        } else {
            context.output().answer(requester.request(), answer);
        }
    }

    void deliver(List<Requester> requesters, JobAnswer answer) {
        requesters.forEach(requester -> deliver(requester, answer));
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }
}
