package org.knapweedmount.daemon.store;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.SubmissionId;
import org.knapweedmount.core.entry.ClaimResult;
import org.knapweedmount.daemon.store.InMemoryTableService.Mode;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class ClaimStoreTest {
    private static final ClaimResult UNAVAILABLE = new ClaimResult(Optional.empty());

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final InMemoryTableService tables = new InMemoryTableService();
    private final ClaimStore store = new ClaimStore(context, tables, () -> 0, new ClaimLimits(2, 10, 1, 0));
    private final ClaimStore other = new ClaimStore(context, tables, () -> 0, new ClaimLimits(2, 10, 1, 0));

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    @Test
    void firstClaimBindsTheKey() throws Exception {
        assertThat(claim(store, "a", 1), is(claimedBy(1)));
        assertThat(claim(other, "a", 2), is(claimedBy(1)));
        assertThat(claim(store, "b", 3), is(claimedBy(3)));
    }

    @Test
    void lostAnswerIsResolvedByReadingTheRow() throws Exception {
        tables.mode(Mode.UP, Mode.LOSE_ANSWERS);

        assertThat(claim(store, "a", 1), is(claimedBy(1)));
        assertThat(tables.transactions(), is(1));
    }

    @Test
    void lostRequestIsSentAgain() throws Exception {
        tables.mode(Mode.UP, Mode.LOSE_REQUESTS);
        tables.beforeNextTransaction(() -> tables.beforeNextTransaction(() -> tables.mode(Mode.UP, Mode.UP)));

        assertThat(claim(store, "a", 1), is(claimedBy(1)));
        assertThat(tables.transactions(), is(2));
    }

    @Test
    void lostAnswerAfterAConcurrentClaimReturnsTheOtherId() throws Exception {
        tables.mode(Mode.UP, Mode.LOSE_REQUESTS);
        tables.beforeNextTransaction(() -> {
            tables.mode(Mode.UP, Mode.UP);
            other.claim("a", id(2));
            tables.mode(Mode.UP, Mode.LOSE_REQUESTS);
        });

        assertThat(claim(store, "a", 1), is(claimedBy(2)));
    }

    @Test
    void nothingIsClaimedWhileTheServiceIsDown() throws Exception {
        tables.mode(Mode.DOWN, Mode.DOWN);
        assertThat(claim(store, "a", 1), is(UNAVAILABLE));
        tables.mode(Mode.DOWN, Mode.LOSE_ANSWERS);
        assertThat(claim(store, "b", 2), is(UNAVAILABLE));
        tables.mode(Mode.UP, Mode.LOSE_REQUESTS);
        assertThat(claim(store, "c", 3), is(UNAVAILABLE));
    }

    @Test
    void oneTakenKeyDoesNotStopTheOthersOfItsTransaction() throws Exception {
        claim(other, "taken", 1);
        Promise<Void> firstMayEnd = Promise.promise();
        DelayedTableService delayed = new DelayedTableService(firstMayEnd.future());
        ClaimStore slow = new ClaimStore(context, delayed, () -> 0, new ClaimLimits(10, 10, 1, 0));
        Future<ClaimResult> first = slow.claim("first", id(2));
        Future<ClaimResult> taken = slow.claim("taken", id(3));
        Future<ClaimResult> free = slow.claim("free", id(4));
        Future<ClaimResult> again = slow.claim("free", id(5));

        firstMayEnd.complete();

        assertThat(await(first), is(claimedBy(2)));
        assertThat(await(taken), is(claimedBy(1)));
        assertThat(await(free), is(claimedBy(4)));
        assertThat(await(again), is(claimedBy(4)));
        assertThat(delayed.transactions, is(3));
    }

    @Test
    void tooManyClaimsAreRefusedAtOnce() throws Exception {
        DelayedTableService never =
                new DelayedTableService(Promise.<Void>promise().future());
        ClaimStore full = new ClaimStore(context, never, () -> 0, new ClaimLimits(2, 10, 1, 0));
        full.claim("a", id(1));
        full.claim("b", id(2));

        assertThat(claim(full, "c", 3), is(UNAVAILABLE));
    }

    private static ClaimResult claim(ClaimStore store, String key, long sequence) throws Exception {
        return await(store.claim(key, id(sequence)));
    }

    private static ClaimResult claimedBy(long sequence) {
        return new ClaimResult(Optional.of(id(sequence)));
    }

    private static SubmissionId id(long sequence) {
        return new SubmissionId(new Incarnation("entry-1", 1), sequence, 1);
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    /** Delays transactions until a future completes. */
    private final class DelayedTableService implements TableService {
        private final Future<Void> until;
        private int transactions;

        DelayedTableService(Future<Void> until) {
            this.until = until;
        }

        @Override
        public Future<ReadResult> read(RowId row) {
            return tables.read(row);
        }

        @Override
        public Future<ListResult> list(String table, String after) {
            return tables.list(table, after);
        }

        @Override
        public Future<TransactResult> transact(Transaction transaction) {
            transactions++;
            return until.compose(ignored -> tables.transact(transaction));
        }
    }
}
