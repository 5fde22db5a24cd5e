package org.knapweedmount.daemon.store;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;

/** An in-memory table service that can simulate outages and lost answers; it answers on the calling thread. */
public final class InMemoryTableService implements TableService {
    /** How requests are handled. */
    public enum Mode {
        /** All are answered. */
        UP,
        /** None is accepted. */
        DOWN,
        /** Transactions take effect and their answers are lost. */
        LOSE_ANSWERS,
        /** Transactions have no effect and their answers are lost. */
        LOSE_REQUESTS
    }

    private record Stored(long version, Optional<JsonNode> value) {}

    private final Map<String, NavigableMap<String, Stored>> tables = new TreeMap<>();
    private Mode transactMode = Mode.UP;
    private Mode readMode = Mode.UP;
    private Consumer<Transaction> beforeTransact = transaction -> {};
    private int transactions;
    private int failingReads;

    /**
     * Sets how later requests are handled.
     *
     * @param reads the mode of reads
     * @param transacts the mode of transactions
     */
    public void mode(Mode reads, Mode transacts) {
        readMode = reads;
        transactMode = transacts;
    }

    /**
     * Sets an action to run once, directly before the next transaction.
     *
     * @param action the action
     */
    public void beforeNextTransaction(Runnable action) {
        beforeTransact = transaction -> {
            beforeTransact = next -> {};
            action.run();
        };
    }

    /**
     * Makes the next reads of single rows fail.
     *
     * @param count the number of reads
     */
    public void failNextReads(int count) {
        failingReads = count;
    }

    /**
     * Returns the number of requested transactions.
     *
     * @return the number
     */
    public int transactions() {
        return transactions;
    }

    @Override
    public Future<ReadResult> read(RowId row) {
        if (failingReads > 0) {
            failingReads--;
            return Future.succeededFuture(ReadResult.UNAVAILABLE);
        }
        if (readMode != Mode.UP) {
            return Future.succeededFuture(ReadResult.UNAVAILABLE);
        }
        Stored stored = stored(row);
        return Future.succeededFuture(stored.value.isPresent() ? found(row, stored) : ReadResult.MISSING);
    }

    @Override
    public Future<ListResult> list(String table, String after) {
        if (readMode != Mode.UP) {
            return Future.succeededFuture(ListResult.UNAVAILABLE);
        }
        List<Row> rows = new ArrayList<>();
        table(table).tailMap(after, false).forEach((key, stored) -> {
            if (stored.value.isPresent() && rows.size() < MAX_ROWS_PER_PAGE) {
                rows.add(new Row(new RowId(table, key), stored.version, stored.value.get()));
            }
        });
        return Future.succeededFuture(new ListResult(true, rows));
    }

    @Override
    public Future<TransactResult> transact(Transaction transaction) {
        transactions++;
        beforeTransact.accept(transaction);
        TransactResult result = switch (transactMode) {
            case UP -> execute(transaction);
            case DOWN -> new TransactResult.Unavailable();
            case LOSE_REQUESTS -> new TransactResult.Unknown();
            case LOSE_ANSWERS -> {
                execute(transaction);
                yield new TransactResult.Unknown();
            }
        };
        return Future.succeededFuture(result);
    }

    /**
     * Executes a transaction regardless of the mode.
     *
     * @param transaction the transaction
     * @return the result
     */
    public TransactResult execute(Transaction transaction) {
        Set<RowId> failed = new HashSet<>();
        for (Transaction.Condition condition : transaction.conditions()) {
            if (version(condition.row()) != condition.version()) {
                failed.add(condition.row());
            }
        }
        if (!failed.isEmpty()) {
            return new TransactResult.Conflict(failed);
        }
        for (Transaction.Write write : transaction.writes()) {
            Stored next = new Stored(stored(write.row()).version + 1, write.value());
            table(write.row().table()).put(write.row().key(), next);
        }
        return new TransactResult.Committed();
    }

    private long version(RowId row) {
        Stored stored = stored(row);
        return stored.value.isPresent() ? stored.version : Transaction.ABSENT;
    }

    private Stored stored(RowId row) {
        return table(row.table()).getOrDefault(row.key(), new Stored(0, Optional.empty()));
    }

    private NavigableMap<String, Stored> table(String name) {
        return tables.computeIfAbsent(name, table -> new TreeMap<>());
    }

    private static ReadResult found(RowId row, Stored stored) {
        return ReadResult.found(new Row(row, stored.version, stored.value.orElseThrow()));
    }
}
