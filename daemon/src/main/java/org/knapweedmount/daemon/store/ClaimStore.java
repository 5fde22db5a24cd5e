package org.knapweedmount.daemon.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.core.entry.ClaimResult;
import org.tinylog.Logger;

/**
 * Binds keys that callers chose to submission IDs by conditional writes.
 *
 * <p>Claims that arrive while a transaction is in flight are batched into the next one. If one key is already bound,
 * the whole transaction fails; the rows of the bound keys are read and the other claims go into the next transaction.
 * If the answer is lost, the rows are read back. A claim without a row is sent again with the same ID. This is safe,
 * because a delayed earlier write makes the condition fail and the row then contains this ID.
 *
 * <p>Must be used on the context of the store.
 */
public final class ClaimStore {
    private static final String TABLE = "claims";
    private static final String SUBMISSION = "submission";
    private static final int MAX_ATTEMPTS = 3;

    private final Context context;
    private final TableService tables;
    private final LongSupplier nanoClock;
    private final ClaimLimits limits;
    private final Map<String, Claim> claims = new HashMap<>();
    private final Deque<Claim> queued = new ArrayDeque<>();
    private int inFlight;
    private long nextSendNanos;
    private boolean timerSet;

    /** A pending claim of one key. */
    private static final class Claim {
        private final String key;
        private final SubmissionId proposed;
        private final Promise<ClaimResult> promise = Promise.promise();
        private int attempts;

        Claim(String key, SubmissionId proposed) {
            this.key = key;
            this.proposed = proposed;
        }

        RowId row() {
            return new RowId(TABLE, key);
        }
    }

    /**
     * Creates a store without claims.
     *
     * @param context the context on which the store runs
     * @param tables the table service
     * @param nanoClock returns the time of a monotonic clock, in ns
     * @param limits the limits of the store
     */
    public ClaimStore(Context context, TableService tables, LongSupplier nanoClock, ClaimLimits limits) {
        this.context = context;
        this.tables = tables;
        this.nanoClock = nanoClock;
        this.limits = limits;
        this.nextSendNanos = nanoClock.getAsLong();
    }

    /**
     * Claims a key.
     *
     * @param key the team and the key that the caller chose, joined by a slash
     * @param proposed the ID to bind to the key unless the key is already bound
     * @return the ID that the key is bound to, or none if the claim could not be completed; never fails
     */
    public Future<ClaimResult> claim(String key, SubmissionId proposed) {
        Claim existing = claims.get(key);
        if (existing != null) {
            return existing.promise.future();
        }
        if (claims.size() >= limits.maxClaims()) {
            return Future.succeededFuture(new ClaimResult(Optional.empty()));
        }
        Claim claim = new Claim(key, proposed);
        claims.put(key, claim);
        queued.add(claim);
        send();
        return claim.promise.future();
    }

    private void send() {
        if (queued.isEmpty() || inFlight >= limits.maxInFlight()) {
            return;
        }
        long waitNanos = nextSendNanos - nanoClock.getAsLong();
        if (waitNanos > 0) {
            sendLater();
            return;
        }
        nextSendNanos = nanoClock.getAsLong() + limits.sendIntervalNanos();
        List<Claim> batch = new ArrayList<>();
        while (!queued.isEmpty() && batch.size() < limits.batchSize()) {
            batch.add(queued.remove());
        }
        inFlight++;
        tables.transact(transaction(batch)).onSuccess(result -> {
            inFlight--;
            transactionEnded(batch, result);
            send();
        });
    }

    private void sendLater() {
        if (timerSet) {
            return;
        }
        timerSet = true;
        context.owner().setTimer(limits.sendIntervalMillis(), fired -> {
            timerSet = false;
            send();
        });
    }

    private static Transaction transaction(List<Claim> batch) {
        List<Transaction.Condition> conditions = new ArrayList<>();
        List<Transaction.Write> writes = new ArrayList<>();
        for (Claim claim : batch) {
            conditions.add(new Transaction.Condition(claim.row(), Transaction.ABSENT));
            writes.add(new Transaction.Write(
                    claim.row(),
                    Optional.of(JsonNodeFactory.instance.objectNode().put(SUBMISSION, claim.proposed.toString()))));
        }
        return new Transaction(conditions, writes);
    }

    private void transactionEnded(List<Claim> batch, TransactResult result) {
        if (result instanceof TransactResult.Committed) {
            batch.forEach(claim -> finish(claim, Optional.of(claim.proposed)));
        } else if (result instanceof TransactResult.Conflict conflict) {
            handleConflict(batch, conflict);
        } else if (result instanceof TransactResult.Unknown) {
            batch.forEach(this::readBack);
        } else {
            batch.forEach(claim -> finish(claim, Optional.empty()));
        }
    }

    private void handleConflict(List<Claim> batch, TransactResult.Conflict conflict) {
        for (Claim claim : batch) {
            if (conflict.failed().contains(claim.row())) {
                readBack(claim);
            } else {
                queued.add(claim);
            }
        }
    }

    private void readBack(Claim claim) {
        tables.read(claim.row()).onSuccess(result -> {
            if (result.answered() && result.row().isEmpty()) {
                retry(claim);
                return;
            }
            finish(claim, result.row().flatMap(ClaimStore::claimedId));
        });
    }

    private void retry(Claim claim) {
        claim.attempts++;
        if (claim.attempts >= MAX_ATTEMPTS) {
            finish(claim, Optional.empty());
            return;
        }
        queued.add(claim);
        send();
    }

    private void finish(Claim claim, Optional<SubmissionId> claimedId) {
        claims.remove(claim.key);
        claim.promise.complete(new ClaimResult(claimedId));
    }

    /**
     * Reads the submission ID that a key is bound to.
     *
     * @param row the key's row
     * @return the ID, empty if the row cannot be parsed
     */
    public static Optional<SubmissionId> claimedId(Row row) {
        try {
            return Optional.of(SubmissionId.parse(row.value().path(SUBMISSION).asText()));
        } catch (ParseException e) {
            Logger.error(
                    e,
                    "cannot parse the submission ID in the claim of key {}",
                    row.id().key());
            return Optional.empty();
        }
    }

    /**
     * Reads the row of a key without claiming it.
     *
     * @param key the team and the key that the caller chose, joined by a slash
     * @return the result, whose row {@link #claimedId} reads; never fails
     */
    public Future<ReadResult> read(String key) {
        return tables.read(new RowId(TABLE, key));
    }
}
