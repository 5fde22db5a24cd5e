package org.knapweedmount.standins.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Tables of versioned rows in memory.
 *
 * <p>A row that is created again after it was deleted starts at version 1, the least that the service promises.
 *
 * <p>Used by one thread.
 */
public final class TableStore {
    private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();

    /**
     * Finds a row.
     *
     * @param table the name of the table
     * @param key the row's key
     * @return the row, empty if there is none
     */
    public Optional<Row> row(String table, String key) {
        return Optional.ofNullable(rowsOf(table).get(key));
    }

    /**
     * Lists rows by key.
     *
     * @param table the name of the table
     * @param prefix what the keys start with
     * @param after the key that all keys in the list are greater than
     * @param limit the largest number of rows
     * @return the first rows that match
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
     * Carries out a transaction if its conditions hold.
     *
     * @param transaction the transaction
     * @return the conditions that don't hold, empty if the transaction was carried out
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
