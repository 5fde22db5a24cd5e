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

/** Executes the outputs of the core: messages, responses to callers and requests to the table service. */
final class EntryOutputAdapter implements EntryOutput {
    private final Links links;
    private final PendingRequests pending;
    private final Context storeContext;
    private final ClaimStore claims;
    private final RetryingQueue<EntryModule> retryingQueue;

    EntryOutputAdapter(
            Links links,
            PendingRequests pending,
            Context storeContext,
            ClaimStore claims,
            RetryingQueue<EntryModule> retryingQueue) {
        this.links = links;
        this.pending = pending;
        this.storeContext = storeContext;
        this.claims = claims;
        this.retryingQueue = retryingQueue;
    }

    @Override
    public void send(Incarnation peer, Message message) {
        links.send(peer, message);
    }

    @Override
    public void connect(PeerAddress entry) {
        links.connect(entry);
    }

    @Override
    public void answer(long request, JobAnswer answer) {
        pending.answer(request, answer);
    }

    @Override
    public void claim(String key, SubmissionId proposed) {
        storeContext.runOnContext(ignored -> claims.claim(key, proposed)
                .onSuccess(result -> retryingQueue.add((module, nowNanos) -> {
                    module.core().claimCompleted(key, proposed, result, nowNanos);
                })));
    }

    @Override
    public void lookUp(String key) {
        storeContext.runOnContext(ignored -> claims.read(key)
                .onSuccess(readResult -> retryingQueue.add((module, nowNanos) -> {
                    module.core().lookUpCompleted(key, readResult.row().flatMap(ClaimStore::claimedId), nowNanos);
                })));
    }
}
