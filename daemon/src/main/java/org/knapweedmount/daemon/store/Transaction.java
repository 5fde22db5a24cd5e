package org.knapweedmount.daemon.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Writes that take effect atomically if all conditions hold, and otherwise not at all.
 *
 * @param conditions the versions that rows must have
 * @param writes the new values of rows
 */
public record Transaction(List<Condition> conditions, List<Write> writes) {
    /** The version of a row that does not exist. */
    public static final long ABSENT = 0;

    /** A transaction without conditions and writes. */
    public static final Transaction EMPTY = new Transaction(List.of(), List.of());

    /**
     * The version that a row must have.
     *
     * @param row the ID of the row
     * @param version the version, {@link #ABSENT} if the row must not exist
     */
    public record Condition(RowId row, long version) {}

    /**
     * The new value of a row.
     *
     * @param row the ID of the row
     * @param value the value, empty to delete the row
     */
    public record Write(RowId row, Optional<JsonNode> value) {}

    /** Copies the lists. */
    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }

    /**
     * Returns this transaction with one more condition.
     *
     * @param row the ID of the row
     * @param version the version that it must have, {@link #ABSENT} if it must not exist
     * @return the extended copy
     */
    public Transaction require(RowId row, long version) {
        return new Transaction(append(conditions, new Condition(row, version)), writes);
    }

    /**
     * Returns this transaction with one more row to write.
     *
     * @param row the ID of the row
     * @param value its new value
     * @return the extended copy
     */
    public Transaction put(RowId row, JsonNode value) {
        return new Transaction(conditions, append(writes, new Write(row, Optional.of(value))));
    }

    /**
     * Returns this transaction with one more row to delete.
     *
     * @param row the ID of the row
     * @return the extended copy
     */
    public Transaction delete(RowId row) {
        return new Transaction(conditions, append(writes, new Write(row, Optional.empty())));
    }

    private static <T> List<T> append(List<T> list, T element) {
        List<T> extended = new ArrayList<>(list);
        extended.add(element);
        return extended;
    }
}
