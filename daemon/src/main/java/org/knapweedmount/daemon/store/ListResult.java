package org.knapweedmount.daemon.store;

import java.util.List;

/**
 * The result of listing rows.
 *
 * @param answered false if the rows could not be listed
 * @param rows the rows in key order
 */
public record ListResult(boolean answered, List<Row> rows) {
    /** The rows could not be listed. */
    public static final ListResult UNAVAILABLE = new ListResult(false, List.of());

    /** Copies the rows. */
    public ListResult {
        rows = List.copyOf(rows);
    }
}
