package org.knapweedmount.daemon.store;

import java.util.List;

/**
 * What was read of several rows.
 *
 * @param answered false if the table service could not be asked
 * @param rows the rows by key
 */
public record ListResult(boolean answered, List<Row> rows) {
    /** The table service could not be asked. */
    public static final ListResult UNAVAILABLE = new ListResult(false, List.of());

    /** Copies the rows. */
    public ListResult {
        rows = List.copyOf(rows);
    }
}
