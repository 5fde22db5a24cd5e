package org.knapweedmount.daemon.entry;

import io.vertx.core.Context;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.JobAnswer;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.api.message.Message;
import org.knapweedmount.core.entry.EntryOutput;
import org.knapweedmount.daemon.http.PendingRequests;
import org.knapweedmount.daemon.runtime.RetryingQueue;
import org.knapweedmount.daemon.store.ClaimStore;

/** Carries out what the core decides. */
final class EntryOutputs implements EntryOutput {
    private final Links links;
    private final PendingRequests pending;
    private final Context storeContext;
    private final ClaimStore claims;
    private final RetryingQueue<EntryModule> results;

    EntryOutputs(
            Links links,
            PendingRequests pending,
            Context storeContext,
            ClaimStore claims,
            RetryingQueue<EntryModule> results) {
        this.links = links;
        this.pending = pending;
        this.storeContext = storeContext;
        this.claims = claims;
        this.results = results;
    }

    @Override
    public void send(Incarnation peer, Message message) {
        links.send(peer, message);
    }

    @Override
    public void connect(PeerAddress entry) {
        links.reach(entry);
    }

    @Override
    public void answer(long request, JobAnswer answer) {
        pending.answer(request, answer);
    }

    @Override
    public void claim(String key, SubmissionId proposed) {
        storeContext.runOnContext(ignored -> claims.claim(key, proposed)
                .onSuccess(result -> results.add((module, now) -> {
                    module.core().claimCompleted(key, proposed, result, now);
                })));
    }

    @Override
    public void lookUp(String key) {
        storeContext.runOnContext(ignored -> claims.find(key)
                .onSuccess(read -> results.add((module, now) -> {
                    module.core().lookUpCompleted(key, read.row().flatMap(ClaimStore::holder), now);
                })));
    }
}
