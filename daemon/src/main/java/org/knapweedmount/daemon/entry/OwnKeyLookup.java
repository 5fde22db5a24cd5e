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

/** Finds the submissions of callers' own keys: first among those that the core remembers, then in the table service. */
final class OwnKeyLookup implements KeyLookup {
    private final DecisionQueue<EntryModule> decisions;
    private final Context storeContext;
    private final ClaimStore claims;

    OwnKeyLookup(DecisionQueue<EntryModule> decisions, Context storeContext, ClaimStore claims) {
        this.decisions = decisions;
        this.storeContext = storeContext;
        this.claims = claims;
    }

    @Override
    public Future<KeyLookupResult> find(String team, String ownKey) {
        Promise<KeyLookupResult> promise = Promise.promise();
        boolean offered = decisions.offer((module, nowNanos) -> {
            Optional<SubmissionId> remembered = module.core().findClaimedId(team, ownKey);
            storeContext.runOnContext(ignored -> known(remembered, team, ownKey).onComplete(promise));
        });
        if (!offered) {
            promise.complete(KeyLookupResult.UNAVAILABLE);
        }
        return promise.future();
    }

    private Future<KeyLookupResult> known(Optional<SubmissionId> remembered, String team, String ownKey) {
        if (remembered.isPresent()) {
            return Future.succeededFuture(KeyLookupResult.found(remembered.get()));
        }
        return claims.find(team + "/" + ownKey).map(OwnKeyLookup::result);
    }

    private static KeyLookupResult result(ReadResult read) {
        if (!read.answered()) {
            return KeyLookupResult.UNAVAILABLE;
        }
        if (read.row().isEmpty()) {
            return KeyLookupResult.UNUSED;
        }
        return ClaimStore.holder(read.row().get()).map(KeyLookupResult::found).orElse(KeyLookupResult.UNAVAILABLE);
    }
}
