package org.knapweedmount.standins.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * In-memory tables of versioned rows.
 *
 * <p>A row that is created again after it was deleted starts at version 1 again, because the real service guarantees no
 * more than that.
 *
 * <p>Not thread-safe.
 */
public final class TableStore {
    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();

    /**
     * Reads a row.
     *
     * @param table the name of the table
     * @param key the key of the row
     * @return the row, empty if it does not exist
     */
    public Optional<Row> row(String table, String key) {
        return Optional.ofNullable(rowsOf(table).get(key));
    }

    /**
     * Lists rows in the order of their keys.
     *
     * @param table the name of the table
     * @param prefix the prefix of the keys to list, empty for all keys
     * @param after the exclusive lower bound of the keys to list
     * @param limit the largest number of rows to list
     * @return the first matching rows
     */
    public List<Row> rows(String table, String prefix, String after, int limit) {
        NavigableMap<String, Row> rows = rowsOf(table);
        boolean fromPrefix = after.compareTo(prefix) < 0;
        NavigableMap<String, Row> tail = fromPrefix ? rows.tailMap(prefix, true) : rows.tailMap(after, false);
        return tail.values().stream()
                .takeWhile(row -> row.key().startsWith(prefix))
                .limit(limit)
                .toList();
    }

    /**
     * Commits a transaction if all its conditions hold.
     *
     * @param transaction the transaction
     * @return the conditions that do not hold, empty if the transaction was committed
     */
    public List<Condition> commit(Transaction transaction) {
        List<Condition> failed = transaction.conditions().stream()
                .filter(condition -> !holds(condition))
                .toList();
        if (failed.isEmpty()) {
            transaction.writes().forEach(this::apply);
        }
        return failed;
    }

    private boolean holds(Condition condition) {
        return version(condition.table(), condition.key()) == condition.version();
    }

    private void apply(Write write) {
        NavigableMap<String, Row> rows = rowsOf(write.table());
        if (write.value().isNull()) {
            rows.remove(write.key());
            return;
        }
        long version = version(write.table(), write.key()) + 1;
        rows.put(write.key(), new Row(write.key(), version, write.value()));
    }

    private long version(String table, String key) {
        return row(table, key).map(Row::version).orElse(0L);
    }

    private NavigableMap<String, Row> rowsOf(String table) {
        return tables.computeIfAbsent(table, name -> new TreeMap<>());
    }
}
