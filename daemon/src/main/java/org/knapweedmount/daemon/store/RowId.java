package org.knapweedmount.daemon.store;

import java.util.Objects;

/**
 * The ID of a row.
 *
 * @param table the table
 * @param key the row's key within the table
 */
public record RowId(String table, String key) {
    /** Checks that no component is null. */
    public RowId {
        Objects.requireNonNull(table, "table");
        Objects.requireNonNull(key, "key");
    }
}
