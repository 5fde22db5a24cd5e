package org.knapweedmount.core.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.message.RelayAnswer;

/** Answers each request once. */
final class PendingAnswers {
    private final EntryContext context;
    private final Set<Requester> pending = new HashSet<>();

    PendingAnswers(EntryContext context) {
        this.context = context;
    }

    /** Notes a request that is to be answered. */
    void register(Requester requester) {
        context.invariants().check(pending.add(requester), "each request has its own number");
    }

    /** Tells whether a request is still to be answered. */
    boolean isPending(Requester requester) {
        return pending.contains(requester);
    }

    void deliver(Requester requester, JobAnswer answer) {
        boolean removed = pending.remove(requester);
        context.invariants().check(removed, "each request is answered once");
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
