package org.knapweedmount.daemon.entry;

import java.util.Optional;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.daemon.http.KeyLookup;
import org.knapweedmount.daemon.http.KeyLookupResult;
import org.knapweedmount.daemon.runtime.DecisionQueue;
import org.knapweedmount.daemon.store.ClaimStore;
import org.knapweedmount.daemon.store.ReadResult;

/** Finds the submission of an idempotency key: first among those that the core remembers, then in the table service. */
final class IdempotencyKeyLookup implements KeyLookup {
    private final DecisionQueue<EntryModule> decisions;
    private final Context storeContext;
    private final ClaimStore claims;

    IdempotencyKeyLookup(DecisionQueue<EntryModule> decisions, Context storeContext, ClaimStore claims) {
        this.decisions = decisions;
        this.storeContext = storeContext;
        this.claims = claims;
    }

    @Override
    public Future<KeyLookupResult> find(String team, String idempotencyKey) {
        Promise<KeyLookupResult> promise = Promise.promise();
        boolean offered = decisions.offer((module, nowNanos) -> {
            Optional<SubmissionId> remembered = module.core().findClaimedId(team, idempotencyKey);
            storeContext.runOnContext(ignored ->
                    rememberedOrClaimed(remembered, team, idempotencyKey).onComplete(promise));
        });
        if (!offered) {
            promise.complete(KeyLookupResult.UNAVAILABLE);
        }
        return promise.future();
    }

    private Future<KeyLookupResult> rememberedOrClaimed(
            Optional<SubmissionId> remembered, String team, String idempotencyKey) {
        if (remembered.isPresent()) {
            return Future.succeededFuture(KeyLookupResult.found(remembered.get()));
        }
        return claims.read(team + "/" + idempotencyKey).map(IdempotencyKeyLookup::result);
    }

    private static KeyLookupResult result(ReadResult readResult) {
        if (!readResult.answered()) {
            return KeyLookupResult.UNAVAILABLE;
        }
        if (readResult.row().isEmpty()) {
            return KeyLookupResult.UNUSED;
        }
        return ClaimStore.claimedId(readResult.row().get())
                .map(KeyLookupResult::found)
                .orElse(KeyLookupResult.UNAVAILABLE);
    }
}
